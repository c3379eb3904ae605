// The errors that the program reports to its operators: a start, a reload or a watch that failed.
#pragma once

#include <exception>
#include <string>
#include <utility>

namespace cometfold {

// What failed, where, and what would be valid. Each is plain text without a trailing newline.
struct ErrorDetails {
  std::string location;  // a file and line, a document and key, or an address; empty if there is none
  std::string problem;
  std::string remedy;  // empty if it follows from the problem
};

// Base class of the program's errors. The constructor composes the text that `what` returns.
class Error : public std::exception {
 public:
  explicit Error(ErrorDetails details) : details_(std::move(details)), text_(compose(details_)) {}

  const std::string& location() const { return details_.location; }
  const std::string& problem() const { return details_.problem; }
  const std::string& remedy() const { return details_.remedy; }
  const char* what() const noexcept override { return text_.c_str(); }

 protected:
  // For an error whose text is not of the form "location: problem; remedy".
  Error(ErrorDetails details, std::string text) : details_(std::move(details)), text_(std::move(text)) {}

 private:
  static std::string compose(const ErrorDetails& details) {
    std::string text = details.location.empty() ? details.problem : details.location + ": " + details.problem;
    if (!details.remedy.empty()) text += "; " + details.remedy;
    return text;
  }

  ErrorDetails details_;
  std::string text_;
};

}  // namespace cometfold
