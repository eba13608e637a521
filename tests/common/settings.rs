//! Settings of gateways on loopback.

/// Returns the settings of a gateway that listens at the ports 7600 to 7604 of an address.
pub(crate) fn gateway_settings(
    name: &str,
    zone: &str,
    ip: &str,
    seeds: &[String],
    store: &str,
) -> String {
    format!(
        r#"name = "{name}"
zone = "{zone}"
[listen]
callers = "{ip}:7600"
ready = "{ip}:7601"
addresses = "{ip}:7602"
peers = "{ip}:7603"
metrics = "{ip}:7604"
[fleet]
seeds = {seeds:?}
[store]
address = "{store}"
[bounds]
grace-s = 8
retry-ratio = 0.2
retry-slack = 50
retry-window-s = 10
fair-window-s = 4
[instance]
memory-mb = 100
descriptors = 4000
"#
    )
}
