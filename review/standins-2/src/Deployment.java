/** The operator's configuration of a small deployment, in the format of the pages. */
final class Deployment {
    static final String HOST = "ficu95.example";

    private Deployment() {}

    /** Returns a configuration with one plain service, an unsafe and a safe route and one tenant. */
    static String plain(final int version, final String... keys) {
        return "{\"Version\":" + version + ",\"Routes\":[" + route("unsafe", "/puxa403/") + ","
                + route("safe", "/cufi504/") + "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\","
                + "\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}],"
                + limits() + ",\"Tenants\":[" + tenant("hule930", keys) + "]}";
    }

    static String limits() {
        return "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000}";
    }

    static String tenant(final String name, final String... keys) {
        return "{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + String.join("\",\"", keys)
                + "\"],\"Priority\":1,\"Unit\":\"token_count\",\"PlainTokens\":200,"
                + "\"RatePerS\":58727,\"Burst\":58727}";
    }

    private static String route(final String kind, final String prefix) {
        return "{\"Name\":\"r-" + kind + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix + "\",\"Kind\":\""
                + kind + "\",\"TimeoutMs\":4000,\"TargetLatencyMs\":386,\"Priority\":1,\"Service\":\"app\","
                + "\"MaxAttempts\":" + (kind.equals("safe") ? 2 : 1) + ",\"Public\":false}";
    }

    /** Returns the head of a request without a body. */
    static String head(final String method, final String target, final String id, final String key) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: " + key + "\r\n";
    }
}
