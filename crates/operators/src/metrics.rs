//! The process's metrics in the usual text form.

use {
    metrics_exporter_prometheus::{
        PrometheusBuilder,
        PrometheusHandle, //
    },
    std::sync::OnceLock, //
};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts to record metrics. A second start in the same process changes nothing.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!(
                "config: another recorder takes this process's metrics; /metrics stays empty"
            );
        }
        handle
    });
}

/// Returns the metrics recorded so far, as text.
///
/// # Examples
///
/// ```
/// operators::start_metrics();
/// metrics::counter!("chervilwind_example_count").increment(2);
/// assert!(operators::metrics_text().contains("chervilwind_example_count 2"));
/// ```
pub fn metrics_text() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
