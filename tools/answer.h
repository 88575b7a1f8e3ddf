// The answers of the engine stand-in as a function of account and prompt, so
// that load tools and tests can compute the expected answer.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "trefoilwick/kernel.h"

namespace trefoilwick {

// Splits a prompt into words, each of which the stand-in counts as one token.
// Any run of ASCII white space separates words.
inline std::vector<std::string> SplitWords(const std::string& text) {
  std::vector<std::string> words;
  size_t at = 0;
  while ((at = text.find_first_not_of(" \t\n\v\f\r", at)) !=
         std::string::npos) {
    const size_t end = text.find_first_of(" \t\n\v\f\r", at);
    words.push_back(text.substr(at, end - at));
    if (end == std::string::npos)
      break;
    at = end;
  }
  return words;
}

// Hash of one account's token sequence, extended one token at a time.
inline uint64_t StartAnswerHash(const std::string& account) {
  return StableHash(account);
}
inline uint64_t ExtendAnswerHash(uint64_t hash, const std::string& token) {
  return StableHash(token, hash);
}

// The token that follows the sequence with this hash.
inline std::string TokenOfHash(uint64_t hash) {
  char text[20];
  std::snprintf(text, sizeof(text), "w%010llx",
                static_cast<unsigned long long>(hash >> 24));
  return text;
}

// The first `count` tokens of the answer to `prompt`.
inline std::vector<std::string> ExpectedAnswer(const std::string& account,
                                               const std::string& prompt,
                                               size_t count) {
  uint64_t hash = StartAnswerHash(account);
  for (const std::string& word : SplitWords(prompt))
    hash = ExtendAnswerHash(hash, word);
  std::vector<std::string> tokens;
  while (tokens.size() < count) {
    tokens.push_back(TokenOfHash(hash));
    hash = ExtendAnswerHash(hash, tokens.back());
  }
  return tokens;
}

// The token that follows `prompt` and `tokens_so_far`.
inline std::string ExpectedToken(
    const std::string& account,
    const std::string& prompt,
    const std::vector<std::string>& tokens_so_far) {
  uint64_t hash = StartAnswerHash(account);
  for (const std::string& word : SplitWords(prompt))
    hash = ExtendAnswerHash(hash, word);
  for (const std::string& token : tokens_so_far)
    hash = ExtendAnswerHash(hash, token);
  return TokenOfHash(hash);
}

// Hash of a call's body as it appears in the journal of a plain service.
inline std::string BodyHash(const std::string& body) {
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(StableHash(body)));
  return text;
}

}  // namespace trefoilwick
