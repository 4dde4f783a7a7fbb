package org.arbutuslock.daemon.internal.operators;

import io.grpc.Context;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** Reads the name of the operator from the client certificate. */
final class OperatorIdentity {
    /** Common name of the certificate of the current call's client; null without TLS. */
    static final Context.Key<String> COMMON_NAME = Context.key("operator-name");

    private OperatorIdentity() {}

    /** Returns the common name, or empty when the client has no certificate with one. */
    static Optional<String> commonNameOf(SSLSession session) {
        try {
            Certificate[] chain = session.getPeerCertificates();
            if (chain.length == 0 || !(chain[0] instanceof X509Certificate certificate)) {
                return Optional.empty();
            }
            return new LdapName(certificate.getSubjectX500Principal().getName())
                    .getRdns().stream()
                            .filter(part -> part.getType().equalsIgnoreCase("CN"))
                            .map(Rdn::getValue)
                            .map(String::valueOf)
                            .findFirst();
        } catch (SSLPeerUnverifiedException | InvalidNameException noCommonName) {
            return Optional.empty();
        }
    }
}
