// Field checks and the strict JSON parser for the configuration files.
#include "configuration/json_object_reader.h"

#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace mustardslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxProblems = 100;
constexpr std::size_t kMaxNameLength = 64;
// The files need 4 levels; a bound keeps the parser's stack small.
constexpr int kMaxDepth = 16;

// Thrown out of the parser's callback, which has no other way to fail.
class ShapeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The parser keeps the last of two fields with one name; this finds them.
class ShapeCheck {
 public:
  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxDepth) {
      throw ShapeError("the nesting is deeper than 16 levels");
    }
    if (event == json::parse_event_t::object_start) {
      m_fields.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      m_fields.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto name = parsed.get<std::string>();
      if (!m_fields.back().insert(name).second) {
        throw ShapeError(fmt::format("the field \"{}\" occurs twice", name));
      }
    }
    return true;
  }

 private:
  std::vector<std::set<std::string>> m_fields;
};

std::size_t LineOf(const std::string& text, std::size_t byte) {
  const std::size_t end = std::min(byte, text.size());
  return 1 + static_cast<std::size_t>(std::count(
                 text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end),
                 '\n'));
}

}  // namespace

void ProblemList::Add(std::string place, std::string message,
                      std::string remedy) {
  if (m_problems.size() < kMaxProblems) {
    m_problems.push_back(
        {m_file, std::move(place), std::move(message), std::move(remedy)});
  }
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                  character == '.' || character == '_' || character == '-';
         });
}

JsonObjectReader::JsonObjectReader(const json& object, std::string path,
                                   ProblemList* problems)
    : m_object(object), m_path(std::move(path)), m_problems(problems) {
  if (!m_object.is_object()) {
    m_problems->Add(m_path, "is not an object", "write { ... } here");
  }
}

std::string JsonObjectReader::Place(const std::string& field) const {
  return m_path.empty() ? field : m_path + "." + field;
}

const json* JsonObjectReader::Find(const char* field) {
  m_read.insert(field);
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto found = m_object.find(field);
  if (found == m_object.end()) {
    m_problems->Add(Place(field), "is missing",
                    fmt::format("add the field \"{}\"", field));
    return nullptr;
  }
  return &*found;
}

std::string JsonObjectReader::Text(const char* field) {
  const json* value = Find(field);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    m_problems->Add(Place(field), "is not a text", "put it in quotes");
    return "";
  }
  return value->get<std::string>();
}

std::string JsonObjectReader::Name(const char* field) {
  const json* value = Find(field);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string() || !IsName(value->get<std::string>())) {
    m_problems->Add(Place(field), "is not a valid name",
                    "use 1 to 64 letters, digits, dots, underscores or "
                    "hyphens");
    return "";
  }
  return value->get<std::string>();
}

std::string JsonObjectReader::Hex(const char* field, std::size_t digits) {
  std::string text = Text(field);
  const bool is_hex = std::all_of(text.begin(), text.end(), [](char character) {
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'f');
  });
  if (!text.empty() && (!is_hex || text.size() != digits)) {
    m_problems->Add(
        Place(field),
        fmt::format("is not {} hexadecimal digits in lower case", digits),
        "copy the record that `mustardslip key new` printed");
  }
  return text;
}

double JsonObjectReader::Number(const char* field, NumberRange range) {
  const json* value = Find(field);
  if (value == nullptr) {
    return 0.0;
  }
  const double number = value->is_number() ? value->get<double>() : NAN;
  if (!(number >= range.m_least && number <= range.m_most)) {
    m_problems->Add(Place(field),
                    fmt::format("is not a number from {} to {}", range.m_least,
                                range.m_most),
                    "correct the value");
    return 0.0;
  }
  return number;
}

std::int64_t JsonObjectReader::Integer(const char* field, NumberRange range) {
  const double number = Number(field, range);
  if (number != std::floor(number)) {
    m_problems->Add(Place(field), "is not a whole number",
                    "remove the fraction");
    return 0;
  }
  return static_cast<std::int64_t>(number);
}

bool JsonObjectReader::OptionalBool(const char* field) {
  m_read.insert(field);
  if (!m_object.is_object() || !m_object.contains(field)) {
    return false;
  }
  const json& value = m_object.at(field);
  if (!value.is_boolean()) {
    m_problems->Add(Place(field), "is neither true nor false",
                    "write true or false without quotes");
    return false;
  }
  return value.get<bool>();
}

const json& JsonObjectReader::Array(const char* field) {
  static const json empty = json::array();
  const json* value = Find(field);
  if (value == nullptr) {
    return empty;
  }
  if (!value->is_array()) {
    m_problems->Add(Place(field), "is not a list", "write [ ... ] here");
    return empty;
  }
  return *value;
}

const json& JsonObjectReader::Object(const char* field) {
  static const json empty = json::object();
  const json* value = Find(field);
  return value == nullptr ? empty : *value;
}

void JsonObjectReader::Finish() {
  if (!m_object.is_object()) {
    return;
  }
  for (const auto& entry : m_object.items()) {
    if (!m_read.contains(entry.key())) {
      m_problems->Add(Place(entry.key()), "is not a known field",
                      "remove it or correct its name; the fields are in "
                      "docs/configuration.md");
    }
  }
}

json ParseJsonObject(const std::string& text, ProblemList* problems) {
  if (text.size() > kMaxConfigurationBytes) {
    problems->Add("",
                  fmt::format("has {} bytes, more than {}", text.size(),
                              kMaxConfigurationBytes),
                  "remove records that are no longer used");
    return json::object();
  }
  try {
    ShapeCheck check;
    json parsed = json::parse(text, std::ref(check));
    if (parsed.is_object()) {
      return parsed;
    }
    problems->Add("line 1", "is not an object", "begin the file with {");
  } catch (const json::parse_error& error) {
    problems->Add(fmt::format("line {}", LineOf(text, error.byte)),
                  fmt::format("is not valid JSON: {}", error.what()),
                  "correct the syntax");
  } catch (const ShapeError& error) {
    problems->Add("", error.what(), "remove one of them");
  }
  return json::object();
}

}  // namespace mustardslip
