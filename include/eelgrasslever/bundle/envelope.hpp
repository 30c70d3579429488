/// @file
/// Envelope of a bundle document with the signatures of two different
/// operators, its author and its approver.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/bundle/document.hpp"

#include <map>
#include <string>

namespace eelgrasslever::bundle {

/// Ed25519 key pair, both keys in lower-case hexadecimal.
struct key_pair {
    std::string public_key; ///< 64 digits
    std::string secret_key; ///< 128 digits
};

/// Public keys of the operators whose signatures are trusted, by name.
using keyring = std::map<std::string, std::string>;

/// The exact signed text and its signatures, as they are stored and relayed.
struct envelope {
    std::string document_text;    ///< JSON, see parse_document()
    std::string author;           ///< operator name
    std::string author_signature; ///< 128 hexadecimal digits
    std::string approver; ///< another operator's name; empty until approved
    std::string approver_signature; ///< 128 hexadecimal digits
};

[[nodiscard]] key_pair generate_key_pair();

/// Signs a document as its author.
/// @param text the JSON text of the document.
/// @param author the operator's name.
/// @param secret_key the operator's key, 128 hexadecimal digits.
/// @return the envelope without an approval, or `invalid_argument` if the
/// document or the key is invalid.
[[nodiscard]] base::result<envelope> sign_bundle(const std::string& text,
                                                 const std::string& author,
                                                 const std::string& secret_key);

/// Approves an authored document. The signature covers the document, the
/// author's name and the author's signature.
/// @param authored an envelope with the author's signature.
/// @param approver the operator's name.
/// @param secret_key the operator's key, 128 hexadecimal digits.
/// @return the complete envelope, `not_permitted` if the approver is the
/// author, or `invalid_argument` if the key is invalid.
[[nodiscard]] base::result<envelope>
approve_bundle(envelope authored, const std::string& approver,
               const std::string& secret_key);

/// Checks that two different operators with different trusted keys have signed
/// the document, and parses it.
/// @return the document, `not_permitted` if a signature is missing or invalid,
/// or `invalid_argument` if the document is.
[[nodiscard]] base::result<document> verify(const envelope& candidate,
                                            const keyring& trusted);

/// @return the envelope as a JSON object.
[[nodiscard]] std::string serialize(const envelope& value);
/// Parses the JSON text of an envelope without checking its signatures.
/// @return the envelope, in which missing fields are empty, or
/// `invalid_argument`.
[[nodiscard]] base::result<envelope> parse_envelope(const std::string& text);

} // namespace eelgrasslever::bundle
