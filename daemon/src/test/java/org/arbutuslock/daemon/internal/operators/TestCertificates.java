package org.arbutuslock.daemon.internal.operators;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import java.util.List;

/** Creates self-signed certificates for the loopback address with the keytool of the JDK. */
final class TestCertificates {
    private static final String PASSWORD = "throw-away";

    private final Path mDirectory;

    TestCertificates(Path directory) {
        mDirectory = directory;
    }

    Path certificate(String name) {
        return mDirectory.resolve(name + ".pem");
    }

    Path key(String name) {
        return mDirectory.resolve(name + "-key.pem");
    }

    /** Creates a key and a certificate with the given common name; both are written as PEM. */
    void create(String name) throws IOException, InterruptedException, GeneralSecurityException {
        Path store = mDirectory.resolve(name + ".p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "entry",
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + name,
                                "-ext",
                                "san=ip:127.0.0.1",
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .start();
        String printed = new String(keytool.getInputStream().readAllBytes());
        if (keytool.waitFor() != 0) {
            throw new IOException("keytool failed: " + printed);
        }
        KeyStore keyStore = KeyStore.getInstance("PKCS12");
        try (InputStream input = Files.newInputStream(store)) {
            keyStore.load(input, PASSWORD.toCharArray());
        }
        write(certificate(name), "CERTIFICATE", keyStore.getCertificate("entry").getEncoded());
        write(
                key(name),
                "PRIVATE KEY",
                keyStore.getKey("entry", PASSWORD.toCharArray()).getEncoded());
    }

    /** Writes the named certificates to a trust file, which it replaces, and returns its path. */
    Path trust(String file, List<String> names) throws IOException {
        Path path = mDirectory.resolve(file);
        Files.deleteIfExists(path);
        for (String name : names) {
            Files.write(
                    path,
                    Files.readAllBytes(certificate(name)),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }
        return path;
    }

    private static void write(Path path, String type, byte[] content) throws IOException {
        String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
        Files.writeString(
                path, "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n");
    }
}
