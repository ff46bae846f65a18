#include "net/TlsCertificate.h"

#include <boost/asio/buffer.hpp>
#include <fstream>
#include <openssl/ssl.h>
#include <sstream>
#include <stdexcept>
#include <xxhash.h>

namespace quay {

namespace ssl = boost::asio::ssl;

namespace {

using Error = boost::system::error_code;

struct PemFiles {
    std::string certificate;
    std::string key;
};

std::optional<std::string> readFile(const std::string& path, std::string& detail)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    if (file && !text.str().empty())
        return text.str();
    detail = "'" + path + "' can't be read or is empty";
    return std::nullopt;
}

std::optional<PemFiles> readFiles(const TlsSettings& files, std::string& detail)
{
    const auto certificate = readFile(files.certificate, detail);
    const auto key = certificate ? readFile(files.key, detail) : std::nullopt;
    if (!key)
        return std::nullopt;
    return PemFiles { *certificate, *key };
}

std::uint64_t hashContent(const std::optional<PemFiles>& files)
{
    if (!files)
        return 0;
    const auto certificate = XXH3_64bits(files->certificate.data(), files->certificate.size());
    return XXH3_64bits_withSeed(files->key.data(), files->key.size(), certificate);
}

// OpenSSL's default callback prompts for the passphrase of an encrypted key on the terminal. This one makes
// loading such a key fail instead.
int provideNoPassphrase(char*, int, int, void*) { return 0; }

TlsContext newContext(ssl::context::method method)
{
    auto context = std::make_shared<ssl::context>(method);
    SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
    SSL_CTX_set_default_passwd_cb(context->native_handle(), provideNoPassphrase);
    return context;
}

// The detail names the file and OpenSSL's reason. It never contains file content, which may be a private key.
TlsContext serverContext(const TlsSettings& paths, const PemFiles& files, std::string& detail)
{
    auto context = newContext(ssl::context::tls_server);
    SSL_CTX_set_options(context->native_handle(), SSL_OP_NO_RENEGOTIATION);
    Error ec;
    context->use_certificate_chain(boost::asio::buffer(files.certificate), ec);
    if (ec) {
        detail = "certificate '" + paths.certificate + "': " + ec.message();
        return nullptr;
    }
    context->use_private_key(boost::asio::buffer(files.key), ssl::context::pem, ec);
    if (ec || SSL_CTX_check_private_key(context->native_handle()) != 1) {
        detail = "key '" + paths.key + "': " + (ec ? ec.message() : "does not match the certificate");
        return nullptr;
    }
    return context;
}

} // namespace

TlsCertificate::TlsCertificate(TlsSettings files)
    : m_files(std::move(files))
{
    std::string detail;
    if (refresh(detail) != RefreshResult::Replaced)
        throw std::runtime_error("TLS: " + detail);
}

TlsContext TlsCertificate::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_context;
}

TlsCertificate::RefreshResult TlsCertificate::refresh(std::string& detail)
{
    const auto files = readFiles(m_files, detail);
    const auto hash = hashContent(files);
    const std::lock_guard lock(m_mutex);
    if (m_context && hash == m_lastReadHash)
        return RefreshResult::None;
    m_lastReadHash = hash;
    auto context = files ? serverContext(m_files, *files, detail) : nullptr;
    if (!context)
        return RefreshResult::Invalid;
    m_context = std::move(context);
    return RefreshResult::Replaced;
}

std::string TlsCertificate::expiry() const
{
    const auto context = current();
    const auto* certificate = SSL_CTX_get0_certificate(context->native_handle());
    const std::unique_ptr<BIO, decltype(&BIO_free)> output(BIO_new(BIO_s_mem()), &BIO_free);
    if (!certificate || !ASN1_TIME_print(output.get(), X509_get0_notAfter(certificate)))
        return "unknown";
    char* text = nullptr;
    const auto length = BIO_get_mem_data(output.get(), &text);
    return { text, static_cast<std::size_t>(length) };
}

std::optional<TlsContext> clientTlsContext(const std::string& caFile, std::string& detail)
{
    auto context = newContext(ssl::context::tls_client);
    context->set_verify_mode(ssl::verify_peer);
    Error ec;
    if (caFile.empty())
        context->set_default_verify_paths(ec);
    else
        context->load_verify_file(caFile, ec);
    if (!ec)
        return context;
    detail = "CA file '" + caFile + "': " + ec.message();
    return std::nullopt;
}

} // namespace quay
