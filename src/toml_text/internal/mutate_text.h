#pragma once

// Random edits of TOML text for the fuzz tests of the libraries that read it.

#include <random>
#include <string>
#include <string_view>

namespace jackdawpick
{

// Deletes a few characters, copies a part of the text to another place, or inserts one character.
inline void mutateText(std::string &text, std::mt19937_64 &random)
{
    using namespace std::string_view_literals;
    constexpr auto alphabet = "[]{}=.,\"'#\n\r\\-_0123456789eExuz \t\0\x7f\xff"sv;
    const auto below = [&random](std::size_t bound) {
        return static_cast<std::size_t>(random() % bound);
    };
    const std::size_t at = below(text.size() + 1);
    switch (below(4)) {
    case 0:
        text.erase(at, below(20));
        break;
    case 1:
        text.insert(at, text.substr(below(text.size() + 1), below(30)));
        break;
    default:
        text.insert(at, 1, alphabet[below(alphabet.size())]);
        break;
    }
}

} // namespace jackdawpick
