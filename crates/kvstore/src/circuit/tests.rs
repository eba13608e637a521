use {
    super::{
        Circuit,
        PAUSE_MAX, //
    },
    std::time::{
        Duration,
        Instant, //
    },
};

const PROBE: Duration = Duration::from_secs(1);

// The platform is away for ten minutes. A router that asks every 10 ms would add 60,000
// calls to a service that is trying to come back. Cause: every caller tries for itself.
#[test]
fn circuit_long_outage() {
    let mut circuit = Circuit::default();
    let start = Instant::now();
    let mut calls = 0;
    for step in 0..60_000 {
        let now = start + Duration::from_millis(10) * step;
        if circuit.admit(now, PROBE).is_ok() {
            calls += 1;
            circuit.failure(now, now, 0.5);
        }
    }
    let least = Duration::from_secs(600).as_millis() / PAUSE_MAX.as_millis();
    assert!(calls <= 2 * least + 10, "{calls} calls");
    assert!(calls >= least, "{calls} calls");
}

#[test]
fn circuit_one_probe_at_a_time() {
    let mut circuit = Circuit::default();
    let start = Instant::now();
    circuit.failure(start, start, 1.0);
    let later = start + PAUSE_MAX;
    assert!(circuit.admit(later, PROBE).is_ok());
    assert!(circuit.admit(later, PROBE).is_err());
    circuit.success();
    assert!(circuit.admit(later, PROBE).is_ok());
    assert!(circuit.admit(later, PROBE).is_ok());
}

#[test]
fn circuit_calls_failing_together() {
    let mut circuit = Circuit::default();
    let start = Instant::now();
    let end = start + PROBE;
    let first = circuit.failure(start, end, 1.0);
    let second = circuit.failure(start, end, 1.0);
    assert_eq!(first, second);
}
