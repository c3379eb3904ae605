#include "extproc/messages.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace cometfold::extproc {

namespace {

using google::protobuf::internal::WireFormatLite;
using InputStream = google::protobuf::io::CodedInputStream;

constexpr std::uint32_t kMaxFieldBytes = 0x7fffffff;

// Iterates over the fields of one message.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes)
      : in_(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<int>(bytes.size())) {}

  // Returns the number of the next field, or 0 at the end; `valid` then tells whether all fields were valid.
  int next() {
    tag_ = in_.ReadTag();
    if (tag_ == 0) valid_ = in_.ConsumedEntireMessage() && valid_;
    return WireFormatLite::GetTagFieldNumber(tag_);
  }
  bool valid() const { return valid_; }

  // `bytes` and `number` read the value of the field that `next` returned. A field with another wire type is
  // skipped as unknown.
  bool bytes(std::string_view& into) {
    if (WireFormatLite::GetTagWireType(tag_) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED) return skip();
    std::uint32_t size = 0;
    if (!in_.ReadVarint32(&size) || size > kMaxFieldBytes) return fail();
    if (size == 0) {
      into = {};
      return true;
    }
    const void* start = nullptr;
    int available = 0;
    if (!in_.GetDirectBufferPointer(&start, &available)) return fail();
    if (static_cast<std::uint32_t>(available) < size) return fail();
    into = {static_cast<const char*>(start), size};
    valid_ = in_.Skip(static_cast<int>(size));
    return valid_;
  }
  template <class Number>
  bool number(Number& into) {
    if (WireFormatLite::GetTagWireType(tag_) != WireFormatLite::WIRETYPE_VARINT) return skip();
    std::uint64_t value = 0;
    if (!in_.ReadVarint64(&value)) return fail();
    into = static_cast<Number>(value);
    return true;
  }
  bool skip() {
    valid_ = WireFormatLite::SkipField(&in_, tag_);
    return valid_;
  }

 private:
  bool fail() {
    valid_ = false;
    return false;
  }

  InputStream in_;
  std::uint32_t tag_ = 0;
  bool valid_ = true;
};

// Calls `each` with the number of each field of a message; `each` must read or skip the field.
template <class Each>
bool read_fields(std::string_view bytes, Each&& each) {
  FieldReader fields(bytes);
  for (int field = fields.next(); field != 0; field = fields.next()) {
    if (!each(field, fields)) return false;
  }
  return fields.valid();
}

// HeaderMap { repeated HeaderValue headers = 1; }, HeaderValue { key = 1; value = 2; raw_value = 3; }
bool read_header_map(std::string_view bytes, std::vector<HeaderView>& into) {
  return read_fields(bytes, [&](int field, FieldReader& map) {
    if (field != 1) return map.skip();
    std::string_view entry;
    if (!map.bytes(entry)) return false;
    std::string_view value;
    std::string_view raw;
    HeaderView header;
    const bool good = read_fields(entry, [&](int part, FieldReader& fields) {
      if (part == 1) return fields.bytes(header.name);
      if (part == 2) return fields.bytes(value);
      if (part == 3) return fields.bytes(raw);
      return fields.skip();
    });
    header.value = raw.empty() ? value : raw;  // proxies set one of the two
    into.push_back(header);
    return good;
  });
}

// HttpHeaders { headers = 1; end_of_stream = 3; }
bool read_headers(std::string_view bytes, ProcessingRequest& into) {
  into.headers.clear();
  into.end_of_stream = false;
  return read_fields(bytes, [&](int field, FieldReader& fields) {
    std::string_view map;
    if (field == 1) return fields.bytes(map) && read_header_map(map, into.headers);
    if (field == 3) return fields.number(into.end_of_stream);
    return fields.skip();
  });
}

// HttpBody { body = 1; end_of_stream = 2; }
bool read_body(std::string_view bytes, ProcessingRequest& into) {
  into.body = {};
  into.end_of_stream = false;
  return read_fields(bytes, [&](int field, FieldReader& fields) {
    if (field == 1) return fields.bytes(into.body);
    if (field == 2) return fields.number(into.end_of_stream);
    return fields.skip();
  });
}

// Value { string_value = 3; }
bool read_value(std::string_view bytes, std::string_view& into) {
  return read_fields(
      bytes, [&](int field, FieldReader& fields) { return field == 3 ? fields.bytes(into) : fields.skip(); });
}

// Map entry { key = 1; value = 2; }
bool read_entry(std::string_view bytes, std::string_view& key, std::string_view& value) {
  return read_fields(bytes, [&](int field, FieldReader& fields) {
    if (field == 1) return fields.bytes(key);
    if (field == 2) return fields.bytes(value);
    return fields.skip();
  });
}

// Entry of map<string, Struct>: the name of a filter and its attributes by name.
bool read_attributes(std::string_view entry, ProcessingRequest& into) {
  std::string_view filter, attributes;
  if (!read_entry(entry, filter, attributes)) return false;
  return read_fields(attributes,
                     [&](int field, FieldReader& fields) {  // Struct { map<string, Value> fields = 1; }
                       if (field != 1) return fields.skip();
                       std::string_view attribute, name, value;
                       if (!fields.bytes(attribute) || !read_entry(attribute, name, value)) return false;
                       return name != "response.code_details" || read_value(value, into.code_details);
                     });
}

bool read_protocol_config(std::string_view bytes, ProcessingRequest& into) {
  return read_fields(bytes, [&](int field, FieldReader& fields) {
    if (field == 1) return fields.number(into.request_body_mode);
    if (field == 2) return fields.number(into.response_body_mode);
    return fields.skip();
  });
}

}  // namespace

bool parse_processing_request(std::string_view bytes, ProcessingRequest& into) {
  into.part = ProcessingRequest::kNone;
  into.headers.clear();
  into.observability_mode = false;
  into.request_body_mode = into.response_body_mode = 0;
  into.code_details = {};
  return read_fields(bytes, [&](int field, FieldReader& fields) {
    std::string_view inner;
    switch (field) {
      case ProcessingRequest::kRequestHeaders:
      case ProcessingRequest::kResponseHeaders:
        into.part = static_cast<ProcessingRequest::Part>(field);
        return fields.bytes(inner) && read_headers(inner, into);
      case ProcessingRequest::kRequestBody:
      case ProcessingRequest::kResponseBody:
        into.part = static_cast<ProcessingRequest::Part>(field);
        return fields.bytes(inner) && read_body(inner, into);
      case ProcessingRequest::kRequestTrailers:
      case ProcessingRequest::kResponseTrailers:
        into.part = static_cast<ProcessingRequest::Part>(field);
        return fields.bytes(inner);
      case 9:
        return fields.bytes(inner) && read_attributes(inner, into);
      case 10:
        return fields.number(into.observability_mode);
      case 11:
        return fields.bytes(inner) && read_protocol_config(inner, into);
      default:
        return fields.skip();
    }
  });
}

}  // namespace cometfold::extproc
