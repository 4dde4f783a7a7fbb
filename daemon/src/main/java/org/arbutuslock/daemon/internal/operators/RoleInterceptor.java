package org.arbutuslock.daemon.internal.operators;

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import javax.net.ssl.SSLSession;
import org.arbutuslock.internal.logging.Event;
import org.arbutuslock.internal.logging.EventLogger;
import org.arbutuslock.internal.settings.NodeSettings.Role;
import org.arbutuslock.v1.OperatorsGrpc;

/** Refuses calls that the role of the client certificate's common name does not allow. */
final class RoleInterceptor implements ServerInterceptor {
    /**
     * Methods that viewers may call. All others need the role operator, so that a method added
     * later is not open to viewers by default.
     */
    private static final Set<String> READ_ONLY_METHODS =
            Set.of(
                    OperatorsGrpc.getGetChangeMethod().getFullMethodName(),
                    OperatorsGrpc.getGetConfigurationMethod().getFullMethodName(),
                    OperatorsGrpc.getHistoryMethod().getFullMethodName(),
                    OperatorsGrpc.getWatchRevisionMethod().getFullMethodName(),
                    OperatorsGrpc.getGetStatusMethod().getFullMethodName(),
                    OperatorsGrpc.getExplainMethod().getFullMethodName(),
                    OperatorsGrpc.getTopMethod().getFullMethodName());

    private final Map<String, Role> mRoles;
    private final EventLogger mLogger;

    RoleInterceptor(Map<String, Role> roles, EventLogger logger) {
        mRoles = Map.copyOf(roles);
        mLogger = logger;
    }

    @Override
    public <Q, R> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
        SSLSession session = call.getAttributes().get(Grpc.TRANSPORT_ATTR_SSL_SESSION);
        Optional<String> name =
                session == null ? Optional.empty() : OperatorIdentity.commonNameOf(session);
        if (name.isEmpty()) {
            return refuse(
                    call,
                    Status.UNAUTHENTICATED.withDescription(
                            "the connection has no client certificate with a common name"));
        }
        String method = call.getMethodDescriptor().getFullMethodName();
        Role role = mRoles.get(name.get());
        if (role == null || role == Role.VIEWER && !READ_ONLY_METHODS.contains(method)) {
            return refuse(
                    call, Status.PERMISSION_DENIED.withDescription(denialReason(name.get(), role)));
        }
        Context context = Context.current().withValue(OperatorIdentity.COMMON_NAME, name.get());
        return Contexts.interceptCall(context, call, headers, next);
    }

    private static String denialReason(String name, Role role) {
        return role == null
                ? "the certificate name \"" + name + "\" has no role; add it to tls.roles"
                : "the certificate name \""
                        + name
                        + "\" has the role viewer; this method needs the role operator";
    }

    private <Q, R> ServerCall.Listener<Q> refuse(ServerCall<Q, R> call, Status status) {
        mLogger.log(
                Event.OPERATOR_CALL_DENIED,
                call.getMethodDescriptor().getBareMethodName(),
                status.getDescription());
        call.close(status, new Metadata());
        return new ServerCall.Listener<>() {};
    }
}
