#include "contract/StandinThread.h"
#include "contract/TlsFiles.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <openssl/ssl.h>

using namespace quay;
using namespace quay::test;

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t maxResponseBytes = 1024 * 1024;
constexpr auto requestTimeout = std::chrono::seconds(30);

// An HTTPS server that returns the body of each request.
struct EchoServer {
    EchoServer(asio::io_context& context, const TlsFiles& files, HttpLimits limits)
        : certificate(std::make_shared<TlsCertificate>(
            TlsSettings { files.path("server.crt"), files.path("server.key") }))
        , server(
              context, "127.0.0.1:0", limits,
              [](HttpRequest request, Respond respond) {
                  HttpResponse response;
                  response.body = std::move(request.body);
                  respond(std::move(response));
              },
              certificate)
    {
        server.start();
    }

    std::shared_ptr<TlsCertificate> certificate;
    HttpServer server;
};

using EchoServerThread = StandinThread<EchoServer>;

TlsSettings serverTlsSettings(const TlsFiles& files)
{
    return { files.path("server.crt"), files.path("server.key") };
}

TlsContext clientContextTrusting(const TlsFiles& files, const std::string& name)
{
    std::string detail;
    auto context = clientTlsContext(files.path(name), detail);
    REQUIRE_MESSAGE(context, detail);
    return *context;
}

HttpRequest request(std::string body)
{
    HttpRequest message;
    message.method = "POST";
    message.body = std::move(body);
    return message;
}

HttpResult callOnce(const std::string& address, TlsContext tls, std::string body = "ping")
{
    asio::io_context context(1);
    HttpClient client(context, 1, maxResponseBytes, std::move(tls));
    HttpResult outcome;
    client.send(address, request(std::move(body)), requestTimeout,
        [&](HttpResult result) { outcome = std::move(result); });
    context.run();
    return outcome;
}

tcp::socket connectTo(asio::io_context& context, const std::string& address)
{
    std::string host;
    std::uint16_t port = 0;
    REQUIRE(splitAddress(address, host, port));
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(host), port));
    return socket;
}

// Reads until the server closes the connection. If it never does, the test suite runs into its timeout.
std::string readToEnd(tcp::socket& socket)
{
    std::string bytes;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(bytes), asio::transfer_all(), ec);
    CHECK(ec);
    return bytes;
}

// A keep-alive connection that can report the certificate the server presented in its handshake.
class KeepAliveConnection {
public:
    explicit KeepAliveConnection(const std::string& address)
        : m_tls(asio::ssl::context::tls_client)
        , m_stream(connectTo(m_context, address), m_tls)
    {
        m_stream.handshake(asio::ssl::stream_base::client);
    }

    std::string subject()
    {
        auto* certificate = SSL_get1_peer_certificate(m_stream.native_handle());
        std::array<char, 256> name {};
        X509_NAME_get_text_by_NID(
            X509_get_subject_name(certificate), NID_commonName, name.data(), name.size());
        X509_free(certificate);
        return name.data();
    }

    std::string sendRequest(const std::string& body)
    {
        const auto text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        asio::write(m_stream, asio::buffer(text));
        std::string answer;
        asio::read_until(m_stream, asio::dynamic_buffer(answer), body);
        return answer.substr(0, answer.find('\r'));
    }

private:
    asio::io_context m_context;
    asio::ssl::context m_tls;
    asio::ssl::stream<tcp::socket> m_stream;
};

} // namespace

TEST_CASE("HTTPS transfers small and large bodies")
{
    const TlsFiles files;
    files.createCertificate("server");
    EchoServerThread echo(files, HttpLimits {});
    for (const std::size_t bytes : { 1UL, 1000UL, 300'000UL }) {
        CAPTURE(bytes);
        const auto result = callOnce(
            echo.get().server.address(), clientContextTrusting(files, "server.crt"), std::string(bytes, 'x'));
        REQUIRE_MESSAGE(result.response, result.reason.detail);
        CHECK(result.response->body.size() == bytes);
    }
}

TEST_CASE("a client rejects an untrusted server before it sends any byte of the request")
{
    struct Row {
        const char* name;
        const char* subjectAltName;
        const char* trusted;
    };
    const std::array rows {
        Row { "another CA", "IP:127.0.0.1", "other.crt" },
        Row { "another address", "IP:127.0.0.2", "server.crt" },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        const TlsFiles files;
        files.createCertificate("server", row.subjectAltName);
        files.createCertificate("other");
        EchoServerThread echo(files, HttpLimits {});
        const auto result = callOnce(echo.get().server.address(), clientContextTrusting(files, row.trusted));
        CHECK_FALSE(result.response);
        CHECK_FALSE(result.mayHaveArrived);
        CHECK(result.reason.detail.find("TLS") != std::string::npos);
    }
}

TEST_CASE("TLS 1.1 and older are rejected")
{
    const TlsFiles files;
    files.createCertificate("server");
    EchoServerThread echo(files, HttpLimits {});
    const auto tls = clientContextTrusting(files, "server.crt");
    SSL_CTX_set_min_proto_version(tls->native_handle(), TLS1_VERSION);
    SSL_CTX_set_max_proto_version(tls->native_handle(), TLS1_1_VERSION);
    SSL_CTX_set_cipher_list(tls->native_handle(), "ALL:@SECLEVEL=0");
    CHECK_FALSE(callOnce(echo.get().server.address(), tls).response);
    SSL_CTX_set_max_proto_version(tls->native_handle(), TLS1_2_VERSION);
    CHECK(callOnce(echo.get().server.address(), tls).response);
}

TEST_CASE("the TLS port closes plain HTTP connections and handshakes that never complete")
{
    const TlsFiles files;
    files.createCertificate("server");
    HttpLimits limits;
    limits.idleTimeoutMs = 200;
    for (const std::string bytes : { "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "\x16\x03", "" }) {
        CAPTURE(bytes.size());
        EchoServerThread echo(files, limits);
        asio::io_context context;
        auto socket = connectTo(context, echo.get().server.address());
        asio::write(socket, asio::buffer(bytes));
        CHECK(readToEnd(socket).find("HTTP/1.1 200") == std::string::npos);
        CHECK(callOnce(echo.get().server.address(), clientContextTrusting(files, "server.crt")).response);
    }
}

TEST_CASE("new connections use a reloaded certificate while a keep-alive connection continues")
{
    const TlsFiles files;
    files.createCertificate("server");
    files.createCertificate("next");
    EchoServerThread echo(files, HttpLimits {});
    const auto address = echo.get().server.address();
    KeepAliveConnection before(address);
    CHECK(before.subject() == "server");
    CHECK(before.sendRequest("first") == "HTTP/1.1 200 OK");
    std::string detail;
    CHECK(echo.get().certificate->refresh(detail) == TlsCertificate::RefreshResult::None);
    files.replace("server", "next");
    CHECK(echo.get().certificate->refresh(detail) == TlsCertificate::RefreshResult::Replaced);
    CHECK(echo.get().certificate->refresh(detail) == TlsCertificate::RefreshResult::None);
    CHECK(before.sendRequest("second") == "HTTP/1.1 200 OK");
    KeepAliveConnection after(address);
    CHECK(after.subject() == "next");
    CHECK(after.sendRequest("third") == "HTTP/1.1 200 OK");
    CHECK(before.sendRequest("fourth") == "HTTP/1.1 200 OK");
}

TEST_CASE("unusable files leave the previous certificate in use, and the detail contains no key")
{
    struct Row {
        const char* name;
        const char* file;
        std::string content;
    };
    const TlsFiles files;
    files.createCertificate("good");
    files.createCertificate("other");
    const auto key = files.read("good.key");
    const std::array rows {
        Row { "no certificate", "server.crt", "" },
        Row { "certificate of another key", "server.crt", files.read("other.crt") },
        Row { "truncated certificate", "server.crt", files.read("good.crt").substr(0, 200) },
        Row { "key in place of the certificate", "server.crt", key },
        Row { "no key", "server.key", "" },
        Row { "truncated key", "server.key", key.substr(0, key.size() / 2) },
        Row { "another key", "server.key", files.read("other.key") },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        files.replace("server", "good");
        EchoServerThread echo(files, HttpLimits {});
        files.write(row.file, row.content);
        std::string detail;
        CHECK(echo.get().certificate->refresh(detail) == TlsCertificate::RefreshResult::Invalid);
        CHECK(detail.find(files.path("server.")) != std::string::npos);
        CHECK(detail.find(key.substr(40, 20)) == std::string::npos);
        CHECK(echo.get().certificate->refresh(detail)
            == TlsCertificate::RefreshResult::None); // the same content is reported once
        CHECK(KeepAliveConnection(echo.get().server.address()).subject() == "good");
        CHECK_THROWS_AS(TlsCertificate { serverTlsSettings(files) }, std::runtime_error);
        files.replace("server", "good");
        CHECK(echo.get().certificate->refresh(detail) == TlsCertificate::RefreshResult::Replaced);
    }
}

TEST_CASE("an encrypted key is rejected without a passphrase prompt on the terminal")
{
    const TlsFiles files;
    files.createCertificate("server");
    const auto command = "openssl ec -aes128 -passout pass:secret -in " + files.path("server.key") + " -out "
        + files.path("locked.key") + " 2> " + files.path("openssl.log");
    REQUIRE(std::system(command.c_str()) == 0); // NOLINT(bugprone-command-processor)
    CHECK_THROWS_AS(
        TlsCertificate({ files.path("server.crt"), files.path("locked.key") }), std::runtime_error);
}

TEST_CASE("the expiry time of the certificate is reported")
{
    const TlsFiles files;
    files.createCertificate("server");
    CHECK(TlsCertificate(serverTlsSettings(files)).expiry().find("GMT") != std::string::npos);
}
