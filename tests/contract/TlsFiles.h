#pragma once

#include <boost/filesystem.hpp>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>

namespace quay::test {

/** A temporary directory with CAs and server certificates that are created with the openssl command. */
class TlsFiles {
public:
    TlsFiles()
        : m_folder(boost::filesystem::temp_directory_path() / boost::filesystem::unique_path())
    {
        boost::filesystem::create_directories(m_folder);
    }

    ~TlsFiles()
    {
        boost::system::error_code ignored;
        boost::filesystem::remove_all(m_folder, ignored);
    }

    TlsFiles(const TlsFiles&) = delete;
    TlsFiles& operator=(const TlsFiles&) = delete;

    std::string path(const std::string& name) const { return (m_folder / name).string(); }

    /** Creates NAME.crt and NAME.key. The certificate is self-signed, so it also serves as its own CA. */
    void createCertificate(const std::string& name, const std::string& subjectAltName = "IP:127.0.0.1") const
    {
        const auto command
            = "openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2"
              " -subj /CN="
            + name + " -addext subjectAltName=" + subjectAltName + " -keyout " + path(name + ".key")
            + " -out " + path(name + ".crt") + " 2> " + path("openssl.log");
        if (std::system(command.c_str()) != 0) // NOLINT(bugprone-command-processor)
            throw std::runtime_error("failed: " + command);
    }

    void write(const std::string& name, const std::string& text) const
    {
        std::ofstream(path(name), std::ios::binary | std::ios::trunc) << text;
    }

    std::string read(const std::string& name) const
    {
        std::ifstream file(path(name), std::ios::binary);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    /** Overwrites the certificate and key of `to` with those of `from`. */
    void replace(const std::string& to, const std::string& from) const
    {
        write(to + ".crt", read(from + ".crt"));
        write(to + ".key", read(from + ".key"));
    }

private:
    boost::filesystem::path m_folder;
};

} // namespace quay::test
