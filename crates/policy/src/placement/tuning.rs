//! How the choice among engines is weighed.

use {
    crate::{
        quota::UsageStanding,
        Span, //
    },
    serde::Deserialize, //
};

/// The time between two messages of peers at which yielding counts once.
const WORDS: Span = Span::millis(100);

/// How the choice among engines is weighed. Settings may give other values than these.
///
/// # Examples
///
/// ```
/// use policy::{placement::Tuning, quota::UsageStanding, Span};
///
/// let tuning = Tuning::default();
/// let words = Span::millis(100);
/// let at = |share| UsageStanding { share, ..UsageStanding::default() };
/// assert!(tuning.limit(at(2.0), words).places < tuning.limit(at(0.5), words).places);
/// ```
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Tuning {
    /// How many engines a prompt's shared parts are kept at.
    pub homes: usize,
    /// A part is taken as cached where it was used this recently, in seconds.
    pub cached_s: f64,
    /// What reading shared tokens again counts, relative to reading tokens for the first time.
    ///
    /// It takes the same time of the engine, and besides pushes other parts out of its cache.
    pub again_cost: f64,
    /// The same for shared tokens that are copied from another engine.
    pub copy_cost: f64,
    /// Fullness up to which any engine takes a request whose homes are full. An engine that
    /// is half idle loses nothing by reading the shared parts anew.
    pub spare: f64,
    /// The same for a workspace within its fair share, which then finds a place anywhere
    /// before one that floods finds a second.
    pub spare_within: f64,
    /// Fullness at which a workspace within its fair share is refused.
    pub full: f64,
    /// Part of its slots and its memory up to which an engine takes requests of a workspace
    /// that had far more than its share. Each request that runs slows the tokens of all others.
    pub full_over: f64,
    /// The same for the time until the engine has read what others sent before, as a part of
    /// the shortest latency target. Engines admit in the order of arrival: what a flood puts
    /// there is read before, or in turns with, the next request of somebody who keeps to their
    /// share.
    pub backlog_over: f64,
    /// The same for the time until the request itself is read, as a part of its own target. One
    /// long prompt of a flood holds up an engine for as long as forty short ones.
    pub own_over: f64,
    /// The same for a request within its workspace's even part of what there is. Bounded like the
    /// others, a workspace of long prompts gets less than half of what one of short prompts gets,
    /// in tokens.
    pub own_even: f64,
    /// Multiple of its fair share at which a workspace's bound begins to fall.
    pub over_from: f64,
    /// The multiple at which it has fallen to the least.
    pub over_to: f64,
    /// How much lower the bound is for a request beyond its workspace's even part of all that
    /// was given, so that others over their shares find places first.
    pub yields: f64,
    /// How far beyond an even part a request stands where it is lower by all of that.
    pub uneven: f64,
    /// How much lower still it is for a request that stands [`Tuning::far`] even parts out.
    ///
    /// As many requests of each workspace stand within any number of even parts, so a bound
    /// that goes on falling gives each the same. A level one would give what is left to who asks
    /// most often.
    pub yields_far: f64,
    /// Even parts at which it has fallen by all of that.
    pub far: f64,
    /// What a request's own reading counts of its latency target, relative to what stands
    /// before it.
    pub own: f64,
    /// Part of the slots that the fleet fills.
    pub slots: f64,
    /// Shortest time after which a refused request may come back, in milliseconds. Within it
    /// some places fall free, and the request can still be in time.
    pub again_ms: f64,
    /// Part of an engine's memory that the fleet fills. What is left holds cached parts.
    pub memory: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            homes: 2,
            cached_s: 20.0,
            again_cost: 1.5,
            copy_cost: 0.2,
            spare: 0.3,
            spare_within: 0.6,
            full: 1.2,
            full_over: 0.6,
            backlog_over: 0.2,
            own_over: 0.2,
            own_even: 0.55,
            over_from: 0.9,
            over_to: 1.6,
            yields: 0.15,
            uneven: 0.4,
            yields_far: 0.1,
            far: 4.0,
            own: 1.0,
            slots: 1.0,
            again_ms: 50.0,
            memory: 0.85,
        }
    }
}

impl Tuning {
    /// Returns up to which fullness engines that are no homes take a workspace's requests.
    pub fn spare(&self, standing: UsageStanding, words: Span) -> Fullness {
        let limit = self.limit(standing, words);
        let spare = match standing.share < self.over_from {
            true => self.spare_within,
            false => self.spare,
        };
        Fullness {
            places: limit.places.min(spare),
            backlog: limit.backlog.min(spare),
            own: limit.own.min(spare),
        }
    }

    /// Returns up to which fullness a workspace's requests are taken.
    ///
    /// One that floods is refused first, while those within their share still find a place.
    /// Of several that are over their shares, requests beyond an even part of what there is are
    /// refused before the others: whoever asks most often finds most places otherwise. Beyond
    /// its even part a request counts as one of a workspace that floods, whatever it was given:
    /// with bounds so low it may have been given little, and would find the places of those
    /// who ask for little.
    ///
    /// `words` is the time between two messages of a peer. Routers do not see what others sent since
    /// these, and with all at once an engine that looks idle gets many times what it can take. The
    /// later the messages, the more a request beyond its even part yields.
    pub fn limit(&self, standing: UsageStanding, words: Span) -> Fullness {
        let over = (standing.share - self.over_from) / (self.over_to - self.over_from).max(0.01);
        let uneven = ((standing.max_min_ratio - 1.0) / self.uneven).clamp(0.0, 1.0);
        let over = over.clamp(uneven, 1.0);
        let level = 1.0 + self.uneven;
        let far = (standing.max_min_ratio - level) / (self.far - level).max(0.01);
        let late = (words.as_secs() / WORDS.as_secs()).max(1.0);
        let yields = late * (self.yields * uneven + self.yields_far * far.clamp(0.0, 1.0));
        let falls_to = |least: f64| self.full - (self.full - least) * over - yields;
        Fullness {
            places: falls_to(self.full_over),
            backlog: falls_to(self.backlog_over),
            own: falls_to(self.own_even + (self.own_over - self.own_even) * uneven),
        }
    }
}

/// How full an engine is, or up to where it takes a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fullness {
    /// Part of its slots and of its memory, with this request.
    pub places: f64,
    /// Part of the shortest latency target that reading others' prompts may take.
    pub backlog: f64,
    /// Part of the request's latency target that reading may take, its own included.
    pub own: f64,
}

impl Fullness {
    /// Returns the highest of all.
    pub(super) fn most(self) -> f64 {
        self.places.max(self.backlog).max(self.own)
    }

    /// Tells whether nothing here is beyond the limits.
    pub(super) fn within(self, limits: Fullness) -> bool {
        self.places <= limits.places && self.backlog <= limits.backlog && self.own <= limits.own
    }
}
