//! Asking which address to use.

use {
    super::{
        flags::Where,
        print::{
            line,
            table,
            time, //
        },
    },
    crate::errors::Error,
    callers::{
        Client,
        ClientSettings, //
    },
    policy::Span,
};

/// Asks a router which address to use, and for tickets.
pub(crate) async fn locate(flags: &Where) -> Result<(), Error> {
    let client = Client::new(ClientSettings::new(vec![flags.router]));
    let tickets = flags.tickets.unwrap_or(0);
    let answer = client
        .fetch_addresses(&flags.service, flags.router, tickets)
        .await;
    let answer = answer.map_err(|r| Error::from_refused(&r))?;
    if flags.json {
        let json = serde_json::to_string(&answer);
        return line(json.map_err(|e| Error::Io("JSON", e.into()))?);
    }
    let rows = answer.addresses.iter().map(|a| {
        vec![
            a.address.to_string(),
            a.router.to_string(),
            a.zone.to_string(),
            format!("{:.2}", a.weight),
        ]
    });
    let header = ["address", "router", "zone", "weight"];
    line(table(&header, 3, rows.collect()))?;
    line(format!("keep for {}", time(Span::millis(answer.keep_ms))))?;
    for ticket in &answer.tickets {
        line(format!("ticket {ticket}"))?;
    }
    Ok(())
}
