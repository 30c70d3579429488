#include "eelgrasslever/bundle/envelope.hpp"

#include "eelgrasslever/base/json.hpp"

#include <array>
#include <sodium.h>
#include <vector>

namespace eelgrasslever::bundle {

namespace {

using bytes = std::vector<unsigned char>;

tl::unexpected<base::error> not_permitted(const std::string& peer,
                                          const std::string& detail) {
    return base::fail(base::error_code::not_permitted, "bundle.verify", peer,
                      detail);
}

std::string to_hex(const unsigned char* data, std::size_t size) {
    std::string hex(size * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), data, size);
    hex.pop_back(); // the terminating null
    return hex;
}

// Returns nothing unless `text` is exactly `expected_size` bytes in
// hexadecimal.
bytes from_hex(const std::string& text, std::size_t expected_size) {
    bytes decoded(expected_size);
    std::size_t size = 0;
    int code = sodium_hex2bin(decoded.data(), decoded.size(), text.data(),
                              text.size(), nullptr, &size, nullptr);
    if (code != 0 || size != expected_size) {
        return {};
    }
    return decoded;
}

// The signed messages begin with the signer's role, so that an author's
// signature can't be used as an approval.
std::string author_message(const std::string& text) {
    return "eelgrasslever-author\n" + text;
}

std::string approver_message(const envelope& value) {
    return "eelgrasslever-approver\n" + value.author + "\n" +
           value.author_signature + "\n" + value.document_text;
}

base::result<std::string> sign(const std::string& message,
                               const std::string& secret_key_hex,
                               const std::string& signer) {
    bytes secret_key = from_hex(secret_key_hex, crypto_sign_SECRETKEYBYTES);
    if (secret_key.empty()) {
        return base::fail(base::error_code::invalid_argument, "bundle.sign",
                          signer,
                          "the secret key must be 128 hexadecimal digits");
    }
    std::array<unsigned char, crypto_sign_BYTES> signature{};
    crypto_sign_detached(signature.data(), nullptr,
                         reinterpret_cast<const unsigned char*>(message.data()),
                         message.size(), secret_key.data());
    return to_hex(signature.data(), signature.size());
}

base::result<void> verify_signature(const std::string& message,
                                    const std::string& signature_hex,
                                    const std::string& signer,
                                    const keyring& trusted) {
    auto key = trusted.find(signer);
    if (key == trusted.end()) {
        return not_permitted(signer,
                             "no trusted key has this operator's name; add "
                             "it under [operators] in the settings");
    }
    bytes public_key = from_hex(key->second, crypto_sign_PUBLICKEYBYTES);
    bytes signature = from_hex(signature_hex, crypto_sign_BYTES);
    if (public_key.empty() || signature.empty()) {
        return not_permitted(signer,
                             "the signature or key is not hexadecimal of "
                             "the right length; sign the bundle again");
    }
    int code = crypto_sign_verify_detached(
        signature.data(),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(),
        public_key.data());
    if (code != 0) {
        return not_permitted(signer,
                             "the signature does not match the document; "
                             "sign the bundle again");
    }
    return {};
}

} // namespace

key_pair generate_key_pair() {
    std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> public_key{};
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> secret_key{};
    crypto_sign_keypair(public_key.data(), secret_key.data());
    return {to_hex(public_key.data(), public_key.size()),
            to_hex(secret_key.data(), secret_key.size())};
}

base::result<envelope> sign_bundle(const std::string& text,
                                   const std::string& author,
                                   const std::string& secret_key) {
    auto parsed = parse_document(text);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    auto signature = sign(author_message(text), secret_key, author);
    if (!signature) {
        return tl::unexpected(signature.error());
    }
    envelope authored;
    authored.document_text = text;
    authored.author = author;
    authored.author_signature = *signature;
    return authored;
}

base::result<envelope> approve_bundle(envelope authored,
                                      const std::string& approver,
                                      const std::string& secret_key) {
    if (authored.author == approver) {
        return not_permitted(approver,
                             "the author can't approve the same bundle; "
                             "a second operator must");
    }
    auto signature = sign(approver_message(authored), secret_key, approver);
    if (!signature) {
        return tl::unexpected(signature.error());
    }
    authored.approver = approver;
    authored.approver_signature = *signature;
    return authored;
}

base::result<document> verify(const envelope& candidate,
                              const keyring& trusted) {
    if (candidate.author.empty() || candidate.author_signature.empty()) {
        return not_permitted("author", "the bundle is not signed; use "
                                       "`eelctl bundle sign`");
    }
    if (candidate.approver.empty() || candidate.approver_signature.empty()) {
        return not_permitted("approver",
                             "the bundle is not approved; a second "
                             "operator runs `eelctl bundle approve`");
    }
    if (candidate.author == candidate.approver) {
        return not_permitted(candidate.author,
                             "author and approver are the same "
                             "operator; a second must approve");
    }
    auto author_key = trusted.find(candidate.author);
    auto approver_key = trusted.find(candidate.approver);
    if (author_key != trusted.end() && approver_key != trusted.end() &&
        author_key->second == approver_key->second) {
        return not_permitted(candidate.approver,
                             "author and approver use the same "
                             "key; a second key must approve");
    }
    auto authored =
        verify_signature(author_message(candidate.document_text),
                         candidate.author_signature, candidate.author, trusted);
    if (!authored) {
        return tl::unexpected(authored.error());
    }
    auto approved = verify_signature(approver_message(candidate),
                                     candidate.approver_signature,
                                     candidate.approver, trusted);
    if (!approved) {
        return tl::unexpected(approved.error());
    }
    return parse_document(candidate.document_text);
}

std::string serialize(const envelope& value) {
    nlohmann::json object = {{"document", value.document_text},
                             {"author", value.author},
                             {"author_signature", value.author_signature},
                             {"approver", value.approver},
                             {"approver_signature", value.approver_signature}};
    return object.dump();
}

base::result<envelope> parse_envelope(const std::string& text) {
    auto object = base::parse_object(text, "bundle.parse", "envelope");
    if (!object) {
        return tl::unexpected(object.error());
    }
    envelope parsed;
    struct text_field {
        const char* name;
        std::string envelope::*member;
    };
    constexpr std::array<text_field, 5> fields{
        {{"document", &envelope::document_text},
         {"author", &envelope::author},
         {"author_signature", &envelope::author_signature},
         {"approver", &envelope::approver},
         {"approver_signature", &envelope::approver_signature}}};
    for (const text_field& field : fields) {
        if (!object->contains(field.name)) {
            continue;
        }
        if (!(*object)[field.name].is_string()) {
            return base::fail(base::error_code::invalid_argument,
                              "bundle.parse", "envelope",
                              std::string(field.name) + " must be text");
        }
        parsed.*field.member = (*object)[field.name].get<std::string>();
    }
    return parsed;
}

} // namespace eelgrasslever::bundle
