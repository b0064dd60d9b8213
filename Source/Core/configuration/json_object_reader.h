// Reads one JSON object field by field and records each fault with its place.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "configuration/configuration_files.h"

namespace mustardslip {

// Problems of one file. Keeps the first 100; the rest is seldom of use.
class ProblemList {
 public:
  explicit ProblemList(std::string file) : m_file(std::move(file)) {}

  void Add(std::string place, std::string message, std::string remedy);
  const std::vector<Problem>& Problems() const { return m_problems; }

 private:
  std::string m_file;
  std::vector<Problem> m_problems;
};

// The range that a number has to lie in, both ends included.
struct NumberRange {
  double m_least = 0.0;
  double m_most = 0.0;
};

// Reads the fields of `object`, which must outlive the reader. A field that is
// absent or wrong is recorded, and a default value is returned.
class JsonObjectReader {
 public:
  JsonObjectReader(const nlohmann::json& object, std::string path,
                   ProblemList* problems);

  // 1 to 64 characters: letters, digits, dot, underscore, hyphen.
  std::string Name(const char* field);
  std::string Text(const char* field);
  // Hexadecimal digits in lower case, exactly `digits` of them.
  std::string Hex(const char* field, std::size_t digits);
  double Number(const char* field, NumberRange range);
  std::int64_t Integer(const char* field, NumberRange range);
  bool OptionalBool(const char* field);
  // An empty array or object if the field is absent or of another type.
  const nlohmann::json& Array(const char* field);
  const nlohmann::json& Object(const char* field);

  // Records each field that was not read.
  void Finish();

  // The path of a field, for problems that the caller finds.
  std::string Place(const std::string& field) const;

 private:
  const nlohmann::json* Find(const char* field);

  const nlohmann::json& m_object;
  std::string m_path;
  ProblemList* m_problems;
  std::set<std::string> m_read;
};

// Parses text as a JSON object. Records syntax errors (with the line),
// duplicate fields and nesting beyond 16 levels, and returns an empty object
// for them.
nlohmann::json ParseJsonObject(const std::string& text, ProblemList* problems);

// True for 1 to 64 letters, digits, dots, underscores and hyphens.
bool IsName(const std::string& text);

}  // namespace mustardslip
