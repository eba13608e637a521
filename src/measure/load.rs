//! The callers of a measured fleet, which send requests until the run ends.

use {
    super::{
        plan::Plan,
        setup::{
            MODEL,
            PROFILE, //
        },
    },
    crate::gauge::text_of,
    async_std::task::{
        self,
        JoinHandle, //
    },
    callers::{
        Answer,
        Call,
        Client,
        ClientSettings,
        Refused, //
    },
    policy::Outcome,
    standins::engine,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            Mutex,
            MutexGuard,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// A caller waits this long for an answer. Every request could be served within it.
const DEADLINE: Duration = Duration::from_secs(30);
/// How long a rejected caller waits if the answer names no time.
const AGAIN: Duration = Duration::from_millis(200);
/// The longest that it waits.
const AGAIN_MAX: Duration = Duration::from_secs(2);
const PATH: &str = "/v1/chat/completions";
/// Start of the events that carry a token.
const TOKEN: &[u8] = b"data: {";

/// The running callers.
#[derive(Debug)]
pub(crate) struct Load {
    /// What each workspace got, in the order of the plans.
    pub(crate) counts: Vec<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

/// What one workspace got, shared by its callers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counts(Arc<Mutex<Sums>>);

/// Sums over the requests of one workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sums {
    /// Received tokens, including those of unfinished answers.
    pub(crate) tokens: i64,
    /// Requests with a complete and correct answer.
    pub(crate) answered: u64,
    /// Requests rejected as not run, by cause.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Answers that were wrong or lost, with their causes.
    pub(crate) faults: Vec<String>,
    /// Time to the first byte of each answer, in milliseconds.
    pub(crate) first: Vec<f64>,
}

/// One caller.
struct Caller {
    plan: Arc<Plan>,
    client: Client,
    counts: Counts,
    number: usize,
}

impl Load {
    /// Starts all callers: the first of each workspace, then the second of each, and so on,
    /// so that none has the idle fleet for itself.
    pub(crate) fn start(plans: &[Plan], routers: &[SocketAddr]) -> Load {
        let all: Vec<_> = plans
            .iter()
            .map(|p| (Arc::new(p.clone()), Counts::default()))
            .collect();
        let most = plans.iter().map(|p| p.callers).max().unwrap_or_default();
        let mut tasks = Vec::new();
        for number in 0..most {
            for (plan, counts) in all.iter().filter(|(p, _)| number < p.callers) {
                let home = plan.homes[number % plan.homes.len()];
                let caller = Caller {
                    plan: plan.clone(),
                    client: pinned(routers[home]),
                    counts: counts.clone(),
                    number,
                };
                tasks.push(task::spawn(caller.run()));
            }
        }
        Load {
            counts: all.into_iter().map(|(_, c)| c).collect(),
            tasks,
        }
    }

    /// Disconnects all callers.
    pub(crate) async fn stop(self) -> Vec<Sums> {
        for task in self.tasks {
            task.cancel().await;
        }
        self.counts.iter().map(|c| c.get().clone()).collect()
    }
}

impl Counts {
    /// Returns the sums, held.
    pub(crate) fn get(&self) -> MutexGuard<'_, Sums> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Caller {
    async fn run(self) {
        let mut n = 0;
        loop {
            let again = self.ask(n).await;
            if let Some(wait) = again {
                task::sleep(wait).await;
            }
            n += 1;
        }
    }

    /// Sends one request; returns how long to wait before the next.
    async fn ask(&self, n: usize) -> Option<Duration> {
        let body = self.body(n);
        let expected = engine::expected(&body);
        let call = self.call(body);
        let begin = Instant::now();
        let (mut first, mut tokens) = (None, 0);
        let answer = self
            .client
            .call_streamed(&call, &mut |piece| {
                first.get_or_insert_with(|| begin.elapsed());
                let more = count(piece);
                tokens += more;
                self.counts.get().tokens += more;
            })
            .await;
        let mut sums = self.counts.get();
        sums.note(&answer, &expected, first.unwrap_or_else(|| begin.elapsed()));
        if answer.outcome == Outcome::Answered {
            // A token whose event arrived in two pieces was not counted when it arrived.
            sums.tokens += expected.split_whitespace().count() as i64 - tokens;
            return None;
        }
        Some(wait(answer.refused.as_ref()))
    }

    fn body(&self, n: usize) -> Vec<u8> {
        let (least, most) = self.plan.tokens;
        let spread = (most - least + 1) as usize;
        let tokens = least as usize + (self.number * 7 + n * 13) % spread;
        let text = format!("{} drafts {n} of {}", self.plan.name, self.number);
        let body = serde_json::json!({
            "model": "drafting",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}],
        });
        body.to_string().into_bytes()
    }

    fn call(&self, body: Vec<u8>) -> Call {
        let mut call = Call::post(
            MODEL.parse().expect("a valid name"),
            self.plan.name.parse().expect("a valid name"),
            PROFILE.parse().expect("a valid name"),
            PATH,
            body,
        );
        call.deadline = Some(DEADLINE);
        call
    }
}

impl Sums {
    fn note(&mut self, answer: &Answer, expected: &str, first: Duration) {
        let cause = || match &answer.refused {
            Some(refused) => format!("{:?}", refused.reason),
            None => "no cause given".to_owned(),
        };
        match answer.outcome {
            Outcome::Answered if text_of(&answer.body) == expected => {
                self.answered += 1;
                self.first.push(first.as_secs_f64() * 1e3);
            }
            Outcome::Answered => self.faults.push("an answer was wrong".to_owned()),
            Outcome::NotRun => *self.refused.entry(cause()).or_default() += 1,
            Outcome::Failed | Outcome::MayHaveRun => {
                self.faults.push(format!("{}: {}", answer.outcome, cause()));
            }
        }
    }
}

/// Returns a client that calls one router and asks for no addresses.
pub(crate) fn pinned(router: SocketAddr) -> Client {
    let mut settings = ClientSettings::new(vec![router]);
    settings.pinned = true;
    settings.max_attempts = 1;
    Client::new(settings)
}

/// Counts the tokens in a piece of a stream.
fn count(piece: &[u8]) -> i64 {
    piece.windows(TOKEN.len()).filter(|w| *w == TOKEN).count() as i64
}

fn wait(refused: Option<&Refused>) -> Duration {
    let told = refused.and_then(|r| r.retry_ms);
    told.map_or(AGAIN, Duration::from_millis)
        .clamp(AGAIN, AGAIN_MAX)
}
