//! Keeps an outage of the platform cheap: few calls, spread over time.

use {
    policy::Span,
    std::time::{
        Duration,
        Instant, //
    },
};

/// Pause after the first failure.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause. It bounds how late the end of an outage is noticed.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Lets calls through, or not, by how the last ones ended.
#[derive(Debug, Default)]
pub(crate) struct Circuit {
    fails: u32,
    failed: Option<Instant>,
    until: Option<Instant>,
}

impl Circuit {
    /// Lets a call through, or tells how long it has to wait.
    ///
    /// After a pause one call goes as a probe, and the others wait for its end, `probe` at most.
    pub(crate) fn admit(&mut self, now: Instant, probe: Duration) -> Result<(), Span> {
        match self.until {
            Some(until) if until > now => Err((until - now).into()),
            Some(_) => {
                self.until = Some(now + probe);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Notes a call that was answered.
    pub(crate) fn success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failed call that began at `began`, and returns the pause.
    ///
    /// `random` from 0 to 1 spreads the calls of many routers.
    pub(crate) fn failure(&mut self, began: Instant, now: Instant, random: f64) -> Span {
        // Calls that ran side by side fail together, and count as one.
        if self.failed.is_some_and(|at| began < at) {
            return self
                .until
                .map_or(Span::ZERO, |u| u.saturating_duration_since(now).into());
        }
        let doubled = PAUSE_MIN * 2_u32.pow(self.fails.min(10));
        let pause = doubled.min(PAUSE_MAX).mul_f64(0.5 + random / 2.0);
        self.fails += 1;
        self.failed = Some(now);
        self.until = Some(now + pause);
        pause.into()
    }
}

#[cfg(test)]
mod tests;
