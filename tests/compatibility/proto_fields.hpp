// Reads the properties that the wire format depends on from the text of .proto files: field numbers, types,
// labels and enum numbers.
//
// The programs are built with the lite runtime, which has no descriptors, so the text itself is parsed. Field
// names are not part of the result, since they are not part of the wire format.
#pragma once

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace winchhall::compatibility {

inline std::string read_whole_file(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error(path.string() + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// Parses the subset of proto3 that the project uses. Anything else is an error, so that nothing is skipped
// silently.
class ProtoFieldReader {
 public:
  // One line for each field ("message MESSAGE NUMBER LABEL TYPE") and each enum value ("enum ENUM NUMBER
  // VALUE"). Messages are named with their package. A field of a oneof has the label "oneofN", the Nth of its
  // message. Throws std::runtime_error if the text can't be parsed.
  static std::set<std::string> read(const std::string& text) {
    ProtoFieldReader reader(text);
    reader.read_file();
    return reader.lines_;
  }

 private:
  explicit ProtoFieldReader(const std::string& text) { split(text); }

  static bool is_word_character(char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '.' ||
           character == '-';
  }

  // Splits into words, quoted strings and punctuation characters; comments are dropped.
  void split(const std::string& text) {
    for (std::size_t at = 0; at < text.size();) {
      if (std::isspace(static_cast<unsigned char>(text[at])) != 0) {
        ++at;
      } else if (text.compare(at, 2, "//") == 0) {
        at = std::min(text.find('\n', at), text.size());
      } else if (text.compare(at, 2, "/*") == 0) {
        const std::size_t end = text.find("*/", at + 2);
        if (end == std::string::npos) throw std::runtime_error("a comment has no end");
        at = end + 2;
      } else {
        at = take_token(text, at);
      }
    }
  }

  std::size_t take_token(const std::string& text, std::size_t begin) {
    std::size_t end = begin + 1;
    if (text[begin] == '"') {
      end = text.find('"', begin + 1);
      if (end == std::string::npos) throw std::runtime_error("a text has no end");
      ++end;
    } else if (is_word_character(text[begin])) {
      while (end < text.size() && is_word_character(text[end])) ++end;
    }
    tokens_.push_back(text.substr(begin, end - begin));
    return end;
  }

  bool at_end() const { return next_ == tokens_.size(); }

  const std::string& peek() const {
    if (at_end()) throw std::runtime_error("the file ends within a definition");
    return tokens_[next_];
  }

  std::string take() {
    std::string token = peek();
    ++next_;
    return token;
  }

  bool take_if(const std::string& wanted) {
    if (at_end() || peek() != wanted) return false;
    ++next_;
    return true;
  }

  void expect(const std::string& wanted) {
    const std::string found = take();
    if (found != wanted) throw std::runtime_error("'" + wanted + "' expected, found '" + found + "'");
  }

  // A decimal number without sign, as in the record.
  std::string take_number() {
    const std::string number = take();
    if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos) {
      throw std::runtime_error("a number expected, found '" + number + "'");
    }
    return number;
  }

  void read_file() {
    while (!at_end()) {
      const std::string word = take();
      if (word == "syntax") {
        expect("=");
        syntax_ = take();
        expect(";");
      } else if (word == "package") {
        scope_ = take();
        expect(";");
      } else if (word == "option") {
        skip_statement();
      } else {
        read_definition(word);
      }
    }
    if (syntax_ != "\"proto3\"") throw std::runtime_error("syntax proto3 expected, found " + syntax_);
  }

  void skip_statement() {
    while (take() != ";") {
    }
  }

  void read_definition(const std::string& kind) {
    if (kind != "message" && kind != "enum") throw std::runtime_error("unknown definition '" + kind + "'");
    const std::string outer = scope_;
    scope_ += (scope_.empty() ? "" : ".") + take();
    expect("{");
    kind == "message" ? read_message() : read_enum();
    scope_ = outer;
  }

  void read_enum() {
    while (!take_if("}")) {
      const std::string value = take();
      if (value == "option" || value == "reserved") {
        skip_statement();
        continue;
      }
      expect("=");
      const std::string number = take_number();
      expect(";");
      add("enum " + scope_ + " " + number + " " + value);
    }
  }

  void read_message() {
    lines_.insert("message " + scope_);
    unsigned oneofs = 0;
    while (!take_if("}")) {
      const std::string word = take();
      if (word == "message" || word == "enum") {
        read_definition(word);
      } else if (word == "option" || word == "reserved") {
        skip_statement();
      } else if (word == "oneof") {
        take();  // its name
        expect("{");
        ++oneofs;
        while (!take_if("}")) read_field("oneof" + std::to_string(oneofs), take());
      } else if (word == "repeated" || word == "optional") {
        read_field(word, take());
      } else {
        read_field("single", word);
      }
    }
  }

  void read_field(const std::string& label, std::string type) {
    if (type == "map") throw std::runtime_error("fields of type map are not supported by this reader");
    take();  // its name
    expect("=");
    const std::string number = take_number();
    if (take_if("[")) {  // options such as packed: part of the wire format
      std::string options;
      while (!take_if("]")) options += take();
      type += "[" + options + "]";
    }
    expect(";");
    add("message " + scope_ + " " + number + " " + label + " " + type);
  }

  void add(const std::string& line) {
    if (!lines_.insert(line).second) throw std::runtime_error("twice: " + line);
  }

  std::vector<std::string> tokens_;
  std::size_t next_ = 0;
  std::string syntax_;
  std::string scope_;
  std::set<std::string> lines_;
};

// The lines of all .proto files under a folder.
inline std::set<std::string> read_all_proto_fields(const std::filesystem::path& folder) {
  std::set<std::string> lines;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".proto") continue;
    for (const std::string& line : ProtoFieldReader::read(read_whole_file(entry.path()))) {
      if (!lines.insert(line).second) throw std::runtime_error(entry.path().string() + ": twice: " + line);
    }
  }
  return lines;
}

}  // namespace winchhall::compatibility
