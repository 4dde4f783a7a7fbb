package org.arbutuslock.daemon.internal.operators;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;

/** Checks that a private key belongs to a public key by signing and verifying a sample. */
final class KeyPairCheck {
    private static final byte[] SAMPLE = "arbutuslock".getBytes(StandardCharsets.US_ASCII);

    private KeyPairCheck() {}

    static boolean matches(PublicKey publicKey, PrivateKey privateKey)
            throws GeneralSecurityException {
        if (!publicKey.getAlgorithm().equals(privateKey.getAlgorithm())) {
            return false;
        }
        String algorithm =
                switch (publicKey.getAlgorithm()) {
                    case "RSA" -> "SHA256withRSA";
                    case "EC" -> "SHA256withECDSA";
                    default -> publicKey.getAlgorithm();
                };
        Signature signature = Signature.getInstance(algorithm);
        signature.initSign(privateKey);
        signature.update(SAMPLE);
        byte[] signed = signature.sign();
        signature.initVerify(publicKey);
        signature.update(SAMPLE);
        return signature.verify(signed);
    }
}
