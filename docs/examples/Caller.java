import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller by the rules of docs/CALLERS.md, for one service, in one file without libraries.
 *
 * <p>{@code java Caller.java ROUTER SERVICE WORKSPACE PROFILE PATH BODY [once]}
 */
public class Caller {
    private static final int TRIES = 3;
    private static final Duration DEADLINE = Duration.ofSeconds(15);

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
    private final String seed;
    private final String service;
    private List<String> addresses = List.of();
    private long keepUntil;
    private final Deque<String> tickets = new ArrayDeque<>();
    private long ticketsUntil;

    Caller(String seed, String service) {
        this.seed = seed;
        this.service = service;
    }

    /** How a call ended: an outcome of the interface, and the body or the refusal. */
    record Answer(String outcome, String why, String body) {}

    Answer call(String workspace, String profile, String path, String body, boolean once)
            throws InterruptedException {
        long until = System.nanoTime() + DEADLINE.toNanos();
        String ticket = null;
        boolean lost = false;
        Answer last = new Answer("not-run", "no-endpoint", "no router can be reached");
        for (int i = 0; i < TRIES; i++) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            try {
                if (once && ticket == null) {
                    ticket = ticket();
                }
                String address = address(i);
                HttpRequest.Builder request =
                        HttpRequest.newBuilder(URI.create("http://" + address + path))
                                .header("chervilwind-service", service)
                                .header("chervilwind-workspace", workspace)
                                .header("chervilwind-profile", profile)
                                .header("chervilwind-deadline-ms", Long.toString(left))
                                .timeout(Duration.ofMillis(left + 1000))
                                .POST(HttpRequest.BodyPublishers.ofString(body));
                if (ticket != null) {
                    request.header("chervilwind-ticket", ticket);
                }
                // A cut body ends in an IOException: it is never taken for the whole.
                HttpResponse<String> response =
                        http.send(request.build(), HttpResponse.BodyHandlers.ofString());
                last = answer(response);
            } catch (java.net.ConnectException | HttpConnectTimeoutException e) {
                // Nothing was sent. The router may be gone, and its tickets with it.
                keepUntil = 0;
                tickets.clear();
                ticket = lost ? ticket : null;
                continue;
            } catch (IOException e) {
                lost = true;
                keepUntil = 0;
                last = new Answer("may-have-run", "answer-lost", e.toString());
                continue;
            }
            if (last.why.equals("ticket-running")) {
                Thread.sleep(Math.max(100, number(last.body, "retry_ms")));
                i--;
            } else if (last.why.equals("ticket-expired")) {
                ticket = null;
                lost = false;
            } else if (last.outcome.equals("not-run") && goesOn(last.why)) {
                keepUntil = 0;
            } else {
                break;
            }
        }
        // After a lost answer a not-run speaks of the last try only.
        boolean settled = last.why.startsWith("ticket-");
        if (lost && last.outcome.equals("not-run") && !settled) {
            return new Answer("may-have-run", "answer-lost", last.body);
        }
        return last;
    }

    private static Answer answer(HttpResponse<String> response) {
        String outcome = response.headers().firstValue("chervilwind-outcome").orElse("answered");
        // A streamed body that came to its end is whole.
        if (outcome.equals("at-end")) {
            outcome = "answered";
        }
        String why = response.statusCode() < 400 ? "" : text(response.body(), "why");
        return new Answer(outcome, why, response.body());
    }

    private static boolean goesOn(String why) {
        return List.of("queue-full", "leaving", "not-ready", "no-endpoint", "too-many-connections")
                .contains(why);
    }

    private String address(int n) throws IOException, InterruptedException {
        if (System.nanoTime() >= keepUntil) {
            String answer = where(0);
            addresses = all(answer, "\"address\":\"([^\"]+)\"");
            keepUntil = System.nanoTime() + number(answer, "keep_ms") * 1_000_000;
        }
        return addresses.get(n % addresses.size());
    }

    private String ticket() throws IOException, InterruptedException {
        if (tickets.isEmpty() || System.nanoTime() >= ticketsUntil) {
            String answer = where(4);
            tickets.clear();
            tickets.addAll(all(all(answer, "\"tickets\":\\[([^]]*)").get(0), "\"([^\"]+)\""));
            ticketsUntil = System.nanoTime() + number(answer, "ticket_ms") * 1_000_000;
        }
        return tickets.pop();
    }

    private String where(int tickets) throws IOException, InterruptedException {
        List<String> asked = new ArrayList<>(addresses);
        asked.add(seed);
        IOException last = null;
        for (String router : asked) {
            String uri = "http://%s/chervilwind/where?service=%s&tickets=%d";
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create(uri.formatted(router, service, tickets)))
                            .timeout(Duration.ofSeconds(3))
                            .build();
            try {
                HttpResponse<String> r =
                        http.send(request, HttpResponse.BodyHandlers.ofString());
                if (r.statusCode() == 200) {
                    return r.body();
                }
                last = new java.net.ConnectException(r.body());
            } catch (IOException e) {
                last = new java.net.ConnectException(router + ": " + e);
            }
        }
        throw last;
    }

    private static List<String> all(String json, String pattern) {
        List<String> found = new ArrayList<>();
        Matcher m = Pattern.compile(pattern).matcher(json);
        while (m.find()) {
            found.add(m.group(1));
        }
        return found;
    }

    private static String text(String json, String name) {
        List<String> found = all(json, "\"" + name + "\":\"([^\"]*)\"");
        return found.isEmpty() ? "" : found.get(0);
    }

    private static long number(String json, String name) {
        List<String> found = all(json, "\"" + name + "\":(\\d+)");
        return found.isEmpty() ? 0 : Long.parseLong(found.get(0));
    }

    public static void main(String[] args) throws InterruptedException {
        Caller caller = new Caller(args[0], args[1]);
        boolean once = args.length > 6 && args[6].equals("once");
        Answer answer = caller.call(args[2], args[3], args[4], args[5], once);
        System.out.println(answer.outcome + " " + answer.why);
        System.out.println(answer.body);
    }
}
