#include "resp/resp_writer.h"

namespace cometfold::resp {

void append_array(std::string& out, std::size_t elements) {
  out += '*';
  out += std::to_string(elements);
  out += "\r\n";
}

void append_bulk(std::string& out, std::string_view value) {
  out += '$';
  out += std::to_string(value.size());
  out += "\r\n";
  out += value;
  out += "\r\n";
}

void append_error(std::string& out, std::string_view text) {
  out += '-';
  for (const char c : text) {
    if (c != '\r' && c != '\n') out += c;
  }
  out += "\r\n";
}

void append_simple(std::string& out, std::string_view text) {
  out += '+';
  out += text;
  out += "\r\n";
}

}  // namespace cometfold::resp
