package org.arbutuslock.testbed.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Handles the requests of tests that control a backend server: {@code GET} and {@code PUT
 * /.backend/faults} read and replace its faults, {@code GET /.backend/executions} returns its
 * counters.
 */
final class BackendControl {
    static final String PATH_PREFIX = "/.backend/";

    private final ObjectMapper mMapper = new ObjectMapper();
    private final BackendState mState;

    BackendControl(BackendState state) {
        mState = state;
    }

    record Reply(HttpResponseStatus status, String body) {}

    Reply handle(FullHttpRequest request) {
        String path = request.uri().substring(PATH_PREFIX.length());
        HttpMethod method = request.method();
        try {
            if (path.equals("faults") && method.equals(HttpMethod.PUT)) {
                String body = request.content().toString(StandardCharsets.UTF_8);
                mState.setFaults(mMapper.readValue(body, BackendFaults.class));
                return json(mState.faults());
            }
            if (path.equals("faults") && method.equals(HttpMethod.GET)) {
                return json(mState.faults());
            }
            if (path.equals("executions") && method.equals(HttpMethod.GET)) {
                return json(executions());
            }
        } catch (JsonProcessingException e) {
            return new Reply(
                    HttpResponseStatus.BAD_REQUEST,
                    "invalid faults: " + e.getOriginalMessage() + "\n");
        }
        return new Reply(
                HttpResponseStatus.NOT_FOUND,
                method
                        + " "
                        + request.uri()
                        + " is unknown; use /.backend/faults or /.backend/executions\n");
    }

    private Map<String, Object> executions() {
        ExecutionRecord record = mState.executions();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("total", record.total());
        fields.put("unrecorded", record.unrecorded());
        fields.put("cancelled", mState.cancelled());
        fields.put("shed", mState.shed());
        fields.put("active", mState.queue().active());
        fields.put("waiting", mState.queue().waiting());
        fields.put("executedMoreThanOnce", record.executedMoreThanOnce());
        return fields;
    }

    private Reply json(Object value) throws JsonProcessingException {
        return new Reply(HttpResponseStatus.OK, mMapper.writeValueAsString(value) + "\n");
    }
}
