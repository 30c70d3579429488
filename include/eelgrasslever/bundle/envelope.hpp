/// @file
/// A bundle document with the signatures of two different operators.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/bundle/document.hpp"

#include <map>
#include <string>

namespace eelgrasslever::bundle {

/// Ed25519 key pair in lower-case hexadecimal.
struct key_pair {
    std::string public_key;
    std::string secret_key;
};

/// Public keys of the operators who may sign, by operator name.
using keyring = std::map<std::string, std::string>;

/// What is stored and relayed: the exact signed text and its signatures.
struct envelope {
    std::string document_text;
    std::string author;
    std::string author_signature;
    std::string approver;
    std::string approver_signature;
};

[[nodiscard]] key_pair generate_key_pair();

/// Adds the author's signature over the text.
[[nodiscard]] base::result<envelope> sign_bundle(const std::string& text,
                                                 const std::string& author,
                                                 const std::string& secret);

/// Adds the approver's signature over the text and the author's name.
[[nodiscard]] base::result<envelope> approve_bundle(envelope signed_once,
                                                    const std::string& approver,
                                                    const std::string& secret);

/// Checks both signatures, that two different operators made them, and the
/// document itself.
[[nodiscard]] base::result<document> verify(const envelope& candidate,
                                            const keyring& trusted);

[[nodiscard]] std::string serialize(const envelope& value);
[[nodiscard]] base::result<envelope> parse_envelope(const std::string& text);

} // namespace eelgrasslever::bundle
