package org.arbutuslock.internal.logging;

import java.lang.System.Logger.Level;

/**
 * Log events with their numbers. {@code docs/events.md} explains each event under its number.
 * Ranges: 1000 process and plug-ins, 2000 callers, 3000 sessions between nodes, 4000 backend
 * servers, 5000 ejection, 6000 membership, 7000 configuration and store, 8000 operators.
 */
public enum Event {
    /** All plug-ins run and the node serves requests. */
    NODE_STARTED(1001, Level.INFO, "node {0} started with incarnation {1}"),
    /** A plug-in has started. */
    PLUGIN_STARTED(1002, Level.DEBUG, "plug-in {0} started"),
    /** A graceful shutdown has begun. */
    NODE_DRAINING(1003, Level.INFO, "graceful shutdown of node {0} started"),
    /** All plug-ins have stopped and the process is about to end. */
    NODE_STOPPED(1004, Level.INFO, "node {0} stopped"),
    /** The node could not start; the process ends. */
    START_FAILED(1005, Level.ERROR, "start failed: {0}"),
    /** The HTTP server for metrics or announcements closed a connection after an error. */
    SMALL_HTTP_FAILED(1006, Level.WARNING, "{0} server: connection from {1} failed: {2}"),
    /** Graceful shutdown reached its time limit while requests were in progress. */
    DRAIN_LIMIT_REACHED(
            1007, Level.WARNING, "drain limit of {0} s reached with {1} requests in progress"),
    /** A changed settings file was read; only its bounds take effect without a restart. */
    SETTINGS_RELOADED(1008, Level.INFO, "settings reloaded from {0}: {1}; {2}"),
    /** The settings file is invalid or unreadable; the settings in force stay. */
    SETTINGS_REJECTED(1009, Level.WARNING, "settings of {0} not reloaded: {1}"),
    /** One run of a periodic task failed; the next one follows. */
    REPEATED_TASK_FAILED(1010, Level.ERROR, "run of {0} failed: {1}"),
    /** A step of the shutdown did not end in time; the process ends without the rest. */
    STOP_LIMIT_REACHED(
            1011, Level.WARNING, "shutdown not finished after {0} s: {1} has not returned"),
    /** A caller sent a malformed request. */
    CALLER_REQUEST_MALFORMED(2001, Level.INFO, "malformed request from {0}: {1}"),
    /** A caller's connection failed. */
    CALLER_CONNECTION_FAILED(2002, Level.DEBUG, "connection of caller {0} failed: {1}"),
    /** A new connection of a caller was closed because the connection limit was reached. */
    CALLER_LIMIT_REACHED(
            2003,
            Level.WARNING,
            "connection of caller {0} closed: limit of {1} connections reached"),
    /** A caller received the complete response of a backend server. */
    REQUEST_ANSWERED(
            2004,
            Level.INFO,
            "request={0} route={1} service={2} status={3} received={4} id={5} seal={6}"
                    + " millis={7} revision={8} tries=[{9}] leftOut={10}"),
    /** A caller received no complete response of a backend server. */
    REQUEST_FAILED(
            2005,
            Level.WARNING,
            "request={0} route={1} service={2} result={3} millis={4} revision={5} tries=[{6}]"
                    + " id={7} sentBytes={8} reason={9} leftOut={10}"),
    /** This node opened a session to another node. */
    SESSION_OPENED(3001, Level.INFO, "session to node {0} incarnation {1} opened as {2}"),
    /** This node accepted a session of another node. */
    SESSION_ACCEPTED(3002, Level.INFO, "session of node {0} incarnation {1} accepted as {2}"),
    /** A session with another node has ended. */
    SESSION_CLOSED(3003, Level.INFO, "session with {0} closed: {1}"),
    /** A session failed, for example after a malformed frame. */
    SESSION_ERROR(3004, Level.WARNING, "session with {0} failed: {1}"),
    /** A session to another node could not be opened. */
    SESSION_CONNECT_FAILED(3005, Level.WARNING, "no session to {0}: {1}"),
    /** A frame that repeats an earlier stream number was dropped. */
    DUPLICATE_FRAME(3006, Level.WARNING, "node {0} sent stream {1} after stream {2}; dropped"),
    /** A message of another node could not be processed; only the exchange it belongs to ended. */
    PEER_MESSAGE_DROPPED(
            3007,
            Level.WARNING,
            "message of node {0} about {1} was dropped: {2}; {3} more lines left out"),
    /** A message to another node was beyond a bound of the protocol. */
    PEER_MESSAGE_NOT_SENT(
            3008,
            Level.WARNING,
            "message to node {0} about {1} was not sent: {2}; {3} more lines left out"),
    /** A backend server announced itself. */
    ENDPOINT_ANNOUNCED(4001, Level.INFO, "endpoint {0} announced at {1} with {2} slots"),
    /** A backend server departed, or its announcement expired. */
    ENDPOINT_LEFT(4002, Level.INFO, "endpoint {0} {1}"),
    /** An announcement cannot be used because of one of its fields. */
    ANNOUNCEMENT_REFUSED(
            4006,
            Level.WARNING,
            "announcement of {0} was refused: field {1}: {2}; {3} more lines left out"),
    /** Departures that an earlier run of this node has acknowledged are in force again. */
    DEPARTURES_RESTORED(4007, Level.INFO, "{0} departures before the start of this node restored"),
    /** A departure will be forgotten if this node restarts. */
    DEPARTURE_NOT_STORED(4008, Level.WARNING, "departure of {0} not stored: {1}"),
    /** An announcement was ignored because a newer one had arrived before it. */
    ANNOUNCEMENT_IGNORED(4003, Level.INFO, "announcement of {0} ignored: {1}"),
    /** A request that was sent to a backend server got no complete response. */
    BACKEND_REQUEST_FAILED(
            4004,
            Level.WARNING,
            "request={0} id={1} endpoint={2} connection={3} sending={4} outcome={5} millis={6}"
                    + " reason={7} leftOut={8}"),
    /** A backend server has an overdue request, or has completed a later one. */
    ENDPOINT_SUSPECT(
            4005, Level.INFO, "endpoint={0} suspect={1} request={2} unfinished={3} leftOut={4}"),
    /** A response or bytes of a backend server belong to no request that could get them. */
    BACKEND_RESPONSE_DROPPED(
            4009,
            Level.WARNING,
            "endpoint={0} connection={1} sending={2} request={3} kind={4} status={5} answers={6}"
                    + " seal={7} leftOut={8}"),
    /** A backend server sent its whole response to a request. */
    BACKEND_REQUEST_ANSWERED(
            4010,
            Level.INFO,
            "request={0} id={1} endpoint={2} connection={3} sending={4} status={5} seal={6}"
                    + " millis={7} leftOut={8}"),
    /** Idle connections are left alone because the request was sent on them before. */
    BACKEND_REQUEST_REPEATED(
            4011, Level.INFO, "request={0} endpoint={1} connectionsLeftAlone={2} leftOut={3}"),
    /** Admission control refused a request that was not sent to its backend server. */
    REQUEST_NOT_ADMITTED(
            4012,
            Level.INFO,
            "request={0} id={1} endpoint={2} route={3} refusal={4} left={5} ms wait={6} ms"
                    + " latency={7} ms waiting={8} inFlight={9} limit={10} leftOut={11}"),
    /** An endpoint changed its state. */
    ENDPOINT_STATE_CHANGED(5001, Level.INFO, "endpoint {0} {1} -> {2}: {3}; {4}"),
    /** A node was added to the fleet. */
    NODE_JOINED(6001, Level.INFO, "node {0} incarnation {1} joined at {2}"),
    /** A node was removed from the fleet. */
    NODE_LEFT(6002, Level.INFO, "node {0} incarnation {1} {2}"),
    /** A node responds neither to direct heartbeats nor to those sent through other nodes. */
    NODE_SUSPECTED(6003, Level.INFO, "node {0} incarnation {1} does not respond; suspected"),
    /** This process was paused; it refutes a suspicion that other nodes may have raised. */
    PROCESS_RESUMED(6004, Level.WARNING, "this process was paused for {0} ms"),
    /** The changed record of this node does not fit into a message; the last one stays known. */
    RECORD_TOO_LARGE(6005, Level.ERROR, "endpoint change not announced to other nodes: {0}"),
    /** Other nodes were not told of the departure; missing heartbeats will show it to them. */
    LEAVE_NOT_SENT(6006, Level.WARNING, "departure of this node not announced to other nodes: {0}"),
    /** The store lacks the revision in force, for example after an older backup was restored. */
    STORE_BEHIND(
            7001,
            Level.ERROR,
            "configuration {0} stays in force: the store lacks {1}; restore a newer backup"),
    /** A change or a snapshot in the store cannot be parsed; the configuration in force stays. */
    CHANGE_UNPARSABLE(7002, Level.ERROR, "{0} cannot be parsed: {1}; revision in force: {2}"),
    /** The store holds another change under a revision that is in force here. */
    CHANGE_OF_OTHER_HISTORY(7003, Level.ERROR, "{0} was refused: {1}"),
    /** The watch of the change log has ended; it will be reopened. */
    CONFIGURATION_WATCH_ENDED(7004, Level.INFO, "watch of the change log ended: {0}"),
    /** A change was deleted from the log; no component of this project deletes changes. */
    CHANGE_DELETED(7005, Level.ERROR, "{0} was deleted from the change log"),
    /** A snapshot was written to the store. */
    SNAPSHOT_WRITTEN(7006, Level.INFO, "snapshot of revision {0} written in {1} parts"),
    /** Another node sent an older, contradictory or malformed configuration. */
    PEER_CONFIGURATION_REFUSED(
            7007, Level.WARNING, "configuration from node {0} was refused: {1}; in force: {2}"),
    /** This node now watches the change log on behalf of its availability zone. */
    WATCHER_STARTED(7008, Level.INFO, "this node watches the change log in slot {0}"),
    /** This node no longer watches the change log. */
    WATCHER_STOPPED(7009, Level.INFO, "this node stopped watching the change log: {0}"),
    /** A snapshot of the configuration could not be written; another watcher will retry. */
    SNAPSHOT_NOT_WRITTEN(7010, Level.WARNING, "snapshot not written: {0}"),
    /** A new configuration of the platform took effect. */
    CONFIGURATION_IN_FORCE(
            7011, Level.INFO, "configuration {0} is in force after {1}; store revision {2}"),
    /** A configuration in the store was not applied; the one in force stays. */
    CONFIGURATION_REFUSED(
            7012, Level.WARNING, "configuration of {0} was refused, {1} stays in force: {2}"),
    /** Another node has a newer configuration; the store is read without waiting for the watch. */
    CONFIGURATION_BEHIND(
            7017, Level.INFO, "configuration {0} is in force, another node has {1}; reading it"),
    /** The lease of the store entry that lists this node has expired. */
    RENDEZVOUS_LEASE_LOST(7013, Level.INFO, "lease of the entry of node {0} has ended"),
    /** This node contacts another node that the store lists. */
    RENDEZVOUS_CONTACT(7014, Level.INFO, "contacting {0} at {1}, one of {2} listed nodes"),
    /** A step of the discovery of other nodes failed; the next one follows. */
    RENDEZVOUS_STEP_FAILED(7015, Level.WARNING, "discovery step failed: {0}"),
    /** An entry of the store cannot be used; the others of its list are. */
    STORE_ENTRY_IGNORED(
            7016, Level.WARNING, "store entry {0} is ignored: {1}; {2} more lines left out"),
    /** The store cannot be reached; logged once until it responds again. */
    STORE_DISCONNECTED(7901, Level.WARNING, "store {0} is not reachable: {1}"),
    /** The store responds again. */
    STORE_CONNECTED(7902, Level.INFO, "store {0} responds again"),
    /** The operators' service accepts calls. */
    OPERATORS_LISTENING(8001, Level.INFO, "operators can call {0}; mutual TLS: {1}"),
    /** Changed certificates are in use for new connections. */
    OPERATOR_TLS_RELOADED(8002, Level.INFO, "certificates reloaded from {0}, {1} and {2}"),
    /** Changed certificates are invalid; the earlier ones stay in use. */
    OPERATOR_TLS_REJECTED(8003, Level.WARNING, "changed certificates rejected: {0}"),
    /** An operator called a method that changes state; this is the audit record. */
    OPERATOR_CALL(8004, Level.INFO, "operator {0} called {1}"),
    /** A call was denied because the certificate of the operator lacks the required role. */
    OPERATOR_CALL_DENIED(8005, Level.WARNING, "call of {0} denied: {1}"),
    /** A call failed because of an internal error of the node. */
    OPERATOR_CALL_FAILED(8006, Level.ERROR, "call of {0} failed: {1}"),
    /** The operators' service could not be started when the first connection arrived. */
    OPERATORS_START_FAILED(8007, Level.ERROR, "operators' service could not be started: {0}");

    private final int mNumber;
    private final Level mLevel;
    private final String mTemplate;
    private final MessageTemplate mParsedTemplate;

    Event(int number, Level level, String template) {
        mNumber = number;
        mLevel = level;
        mTemplate = template;
        mParsedTemplate = new MessageTemplate(template);
    }

    /**
     * Returns the number under which {@code docs/events.md} lists this event.
     *
     * @return unique number, which is never reused for another event
     */
    public int number() {
        return mNumber;
    }

    /**
     * Returns the severity of this event.
     *
     * @return level at which the event is logged
     */
    public Level level() {
        return mLevel;
    }

    /**
     * Returns the message template.
     *
     * @return message with numbered placeholders such as {@code {0}}
     */
    public String template() {
        return mTemplate;
    }

    MessageTemplate parsedTemplate() {
        return mParsedTemplate;
    }
}
