package org.arbutuslock.daemon.internal.operators;

import io.grpc.netty.GrpcSslContexts;
import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import io.grpc.util.CertificateUtils;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.net.ssl.SSLException;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.NodeSettings;

/**
 * Certificates and key of the operators' server. They are loaded again when one of their files
 * changes and then apply to new connections.
 */
final class ReloadingTls {
    private static final int MAXIMUM_FILE_BYTES = 1 << 20;

    /**
     * TLS session resumption does not check the client's certificate against a changed trust file,
     * so a longer timeout would accept distrusted clients for longer.
     */
    private static final long SESSION_TIMEOUT_SECONDS = 5;

    private final NodeSettings.Tls mFiles;
    private final EventLogger mLogger;
    private final AdvancedTlsX509KeyManager mKeyManager = new AdvancedTlsX509KeyManager();
    private final AdvancedTlsX509TrustManager mTrustManager;
    private Contents mLastRead;

    private ReloadingTls(
            NodeSettings.Tls files, EventLogger logger, AdvancedTlsX509TrustManager trustManager) {
        mFiles = files;
        mLogger = logger;
        mTrustManager = trustManager;
    }

    private record Contents(byte[] certificate, byte[] key, byte[] trust) {
        boolean sameAs(Contents other) {
            return Arrays.equals(certificate, other.certificate)
                    && Arrays.equals(key, other.key)
                    && Arrays.equals(trust, other.trust);
        }
    }

    static ReloadingTls load(NodeSettings.Tls files, EventLogger logger)
            throws IOException, GeneralSecurityException {
        // Clients are identified by the common name of their certificate, not by their address.
        AdvancedTlsX509TrustManager trustManager =
                AdvancedTlsX509TrustManager.newBuilder()
                        .setVerification(
                                AdvancedTlsX509TrustManager.Verification
                                        .CERTIFICATE_ONLY_VERIFICATION)
                        .build();
        ReloadingTls tls = new ReloadingTls(files, logger, trustManager);
        Contents contents = tls.read();
        tls.install(contents);
        tls.mLastRead = contents;
        return tls;
    }

    SslContext createServerContext() throws SSLException {
        SslContextBuilder builder =
                SslContextBuilder.forServer(mKeyManager)
                        .trustManager(mTrustManager)
                        .sessionTimeout(SESSION_TIMEOUT_SECONDS)
                        .clientAuth(ClientAuth.REQUIRE);
        return GrpcSslContexts.configure(builder, SslProvider.JDK).build();
    }

    /** Keeps the earlier certificates and logs the reason when changed files are not usable. */
    synchronized void reloadIfChanged() {
        try {
            Contents contents = read();
            if (contents.sameAs(mLastRead)) {
                return;
            }
            // Set before the installation, so that unusable files are logged only once.
            mLastRead = contents;
            install(contents);
            mLogger.log(
                    Event.OPERATOR_TLS_RELOADED,
                    mFiles.certificateFile(),
                    mFiles.keyFile(),
                    mFiles.trustFile());
        } catch (IOException | GeneralSecurityException unusable) {
            mLogger.log(Event.OPERATOR_TLS_REJECTED, unusable.toString());
        }
    }

    private void install(Contents contents) throws IOException, GeneralSecurityException {
        X509Certificate[] chain =
                parseCertificates(contents.certificate(), mFiles.certificateFile());
        X509Certificate[] trusted = parseCertificates(contents.trust(), mFiles.trustFile());
        PrivateKey key = CertificateUtils.getPrivateKey(new ByteArrayInputStream(contents.key()));
        // During a renewal, one file is already replaced and the other is not yet.
        if (!KeyPairCheck.matches(chain[0].getPublicKey(), key)) {
            throw new GeneralSecurityException(
                    "the key in "
                            + mFiles.keyFile()
                            + " does not belong to the first certificate in "
                            + mFiles.certificateFile());
        }
        mTrustManager.updateTrustCredentials(trusted);
        mKeyManager.updateIdentityCredentials(chain, key);
    }

    private static X509Certificate[] parseCertificates(byte[] pem, Path file)
            throws GeneralSecurityException {
        X509Certificate[] certificates =
                CertificateUtils.getX509Certificates(new ByteArrayInputStream(pem));
        if (certificates.length == 0) {
            throw new GeneralSecurityException(file + " contains no certificate in PEM format");
        }
        return certificates;
    }

    private Contents read() throws IOException {
        return new Contents(
                read(mFiles.certificateFile()), read(mFiles.keyFile()), read(mFiles.trustFile()));
    }

    private static byte[] read(Path file) throws IOException {
        long size = Files.size(file);
        if (size > MAXIMUM_FILE_BYTES) {
            throw new IOException(
                    file + " has " + size + " bytes; the maximum is " + MAXIMUM_FILE_BYTES);
        }
        return Files.readAllBytes(file);
    }
}
