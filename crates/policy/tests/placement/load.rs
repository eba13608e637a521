//! Many workspaces against a few engines, in virtual time: who is served.
//!
//! Engines here read prompts one after the other and run what they have in slots; routers
//! see each other's counts late. It needs no network and shows the pattern that the bounds
//! answer: one workspace floods, the others ask for their share.

use {
    policy::{
        placement::{
            pick,
            Board,
            Candidate,
            Load,
            Part,
            Pick,
            Prompt,
            ReplicaKey,
            Tuning,
            Wish, //
        },
        quota::{
            Quota,
            WorkspaceKey, //
        },
        ReplicaId,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        HashMap, //
    },
};

const ENGINES: usize = 6;
const ROUTERS: usize = 3;
/// Tokens that an engine reads in a millisecond.
const SPEED: f64 = 100.0;
/// How long a request runs once its prompt was read.
const RUNS: Span = Span::millis(1_200);
/// How often routers tell each other.
const TELL: Span = Span::millis(40);
const CAPACITY: f64 = 240_000.0;

struct World {
    now: Time,
    boards: Vec<Board>,
    quotas: Vec<Quota>,
    ids: Vec<ReplicaId>,
    /// When each engine has read all that it got.
    read: Vec<Time>,
    /// What ends when, at which router and engine.
    ends: BTreeMap<(Time, u64), (usize, usize, Load)>,
    /// What was read when.
    reads: BTreeMap<(Time, u64), (usize, usize, u64)>,
    count: u64,
}

#[derive(Default, Clone, Copy, Debug)]
struct Served {
    asked: u32,
    begun: u32,
    late: u32,
}

impl World {
    fn new() -> World {
        let quota = || {
            let mut q = Quota::new(Span::secs(4));
            q.set_capacity(CAPACITY);
            q
        };
        World {
            now: Time(0),
            boards: (0..ROUTERS).map(|_| Board::default()).collect(),
            quotas: (0..ROUTERS).map(|_| quota()).collect(),
            ids: (0..ENGINES)
                .map(|i| format!("i-{i}").parse().unwrap())
                .collect(),
            read: vec![Time(0); ENGINES],
            ends: BTreeMap::new(),
            reads: BTreeMap::new(),
            count: 0,
        }
    }

    fn to(&mut self, now: Time) {
        self.now = now;
        while let Some(entry) = self.reads.first_entry().filter(|e| e.key().0 <= now) {
            let (router, engine, tokens) = entry.remove();
            self.boards[router].read(ReplicaKey::of(&self.ids[engine]), tokens);
        }
        while let Some(entry) = self.ends.first_entry().filter(|e| e.key().0 <= now) {
            let (router, engine, load) = entry.remove();
            self.boards[router].end(ReplicaKey::of(&self.ids[engine]), load);
        }
    }

    fn tell(&mut self) {
        for from in 0..ROUTERS {
            let name = format!("r-{from}").parse().unwrap();
            let (loads, counts) = (
                self.boards[from].report(),
                self.quotas[from].report(self.now),
            );
            for to in (0..ROUTERS).filter(|to| *to != from) {
                self.boards[to].peer(&name, &loads, self.now);
                self.quotas[to].peer(&name, &counts, self.now);
            }
        }
    }

    /// Asks at a router; tells how long the first event takes, or none where it is refused.
    fn ask(&mut self, router: usize, workspace: WorkspaceKey, prompt: &Prompt) -> Option<Span> {
        let now = self.now;
        self.quotas[router].asked(workspace, prompt.cost(), now);
        let standing = self.quotas[router].standing(workspace, now);
        let board = &self.boards[router];
        let candidates: Vec<Candidate> = self
            .ids
            .iter()
            .map(|id| Candidate {
                id: id.clone(),
                key: ReplicaKey::of(id),
                slots: 48,
                memory: 1_000_000,
                speed: SPEED,
                load: board.load(ReplicaKey::of(id), now),
                penalty: 0.0,
                copies: true,
                cached: None,
            })
            .collect();
        let wish = Wish {
            prompt,
            target: Span::millis(400),
            shortest: Span::millis(250),
            standing,
            tuning: &Tuning::default(),
        };
        let Pick::Run(choice) = pick(&candidates, &wish) else {
            return None;
        };
        let engine = self
            .ids
            .iter()
            .position(|id| *id == choice.replica)
            .unwrap();
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: u64::from(prompt.total + prompt.output),
        };
        self.quotas[router].given(workspace, prompt.cost(), now);
        self.boards[router].start(choice.key, load);
        let reading = Span((f64::from(choice.uncached) / SPEED * 1e3) as u64);
        let first = self.read[engine].max(now) + reading;
        self.read[engine] = first;
        self.count += 1;
        let left = Load { unread: 0, ..load };
        self.reads
            .insert((first, self.count), (router, engine, load.unread));
        self.ends
            .insert((first + RUNS, self.count), (router, engine, left));
        Some(first.since(now))
    }
}

/// Plays 20 s in which each workspace asks so many times a second.
fn play(rates: &[u32]) -> HashMap<u32, Served> {
    let mut world = World::new();
    let mut served: HashMap<u32, Served> = HashMap::new();
    let mut due: BTreeMap<(Time, u32), Span> = BTreeMap::new();
    for (who, rate) in (0u32..).zip(rates.iter().copied()) {
        let every = Span(1_000_000 / u64::from(rate));
        due.insert((Time(u64::from(who) * 7_000), who), every);
    }
    let mut told = Time(0);
    let mut turn: u32 = 0;
    while let Some(((now, who), every)) = due.pop_first() {
        if now >= Time(0) + Span::secs(20) {
            continue;
        }
        due.insert((now + every, who), every);
        while told + TELL <= now {
            told += TELL;
            world.to(told);
            world.tell();
        }
        world.to(now);
        turn += 1;
        let prompt = Prompt {
            parts: vec![
                Part {
                    id: u64::from(turn % 40),
                    tokens: 4_000,
                },
                Part {
                    id: 1_000 + u64::from(turn),
                    tokens: 3_000,
                },
            ],
            total: 7_000,
            output: 200,
        };
        // Each workspace comes in at one router.
        let router = who as usize % ROUTERS;
        let first = world.ask(router, WorkspaceKey(who), &prompt);
        let entry = served.entry(who).or_default();
        entry.asked += 1;
        entry.begun += u32::from(first.is_some());
        entry.late += u32::from(first.is_some_and(|f| f > Span::millis(400)));
    }
    served
}

#[test]
fn load_flood_spares_the_others() {
    // One workspace asks for eight times what there is, at one router. The others ask for
    // less than their shares; they were refused as often as the flood.
    let served = play(&[400, 4, 4, 4, 4, 4, 4, 4, 4]);
    for who in 1..9 {
        let s = served[&who];
        assert!(s.begun * 100 >= s.asked * 93, "{who}: {s:?}");
        assert!(s.late * 100 <= s.asked * 5, "{who}: {s:?}");
    }
    let flood = served[&0];
    assert!(flood.begun < flood.asked / 2, "{flood:?}");
    // It still has what the others leave, well above its share.
    assert!(flood.begun > 20 * 10, "{flood:?}");
}

#[test]
fn load_floods_share_evenly() {
    // Three workspaces want far more than there is, one of them ten times as often as the
    // next. Each place that fell free went to whoever asked next, so to that one; the others
    // were refused in every second and got a quarter of what it got.
    let served = play(&[400, 60, 40, 3, 3, 3, 3, 3, 3]);
    let most = served[&0].begun;
    for who in [1, 2] {
        let s = served[&who];
        assert!(s.begun * 2 >= most.min(s.asked), "{who}: {s:?} of {most}");
    }
}

#[test]
fn load_calm_serves_all() {
    for (who, s) in play(&[4; 9]) {
        assert_eq!(s.begun, s.asked, "{who}");
        assert!(s.late * 100 <= s.asked * 3, "{who}: {s:?}");
    }
}
