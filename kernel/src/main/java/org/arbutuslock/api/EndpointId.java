package org.arbutuslock.api;

/**
 * Identifies an endpoint: one backend server as a member of one service. Ordered by service, then
 * by backend server.
 *
 * @param service name of the service
 * @param backendServer name under which the backend server announces itself, unique in the fleet
 */
public record EndpointId(String service, String backendServer) implements Comparable<EndpointId> {
    @Override
    public int compareTo(EndpointId other) {
        int byService = service.compareTo(other.service);
        return byService != 0 ? byService : backendServer.compareTo(other.backendServer);
    }

    @Override
    public String toString() {
        return service + "/" + backendServer;
    }
}
