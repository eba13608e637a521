//! Reports, cancellation and control paths of the engine.

use {
    super::server::State,
    crate::wire::{
        Ask,
        Conn,
        FaultOrder, //
    },
    serde::Serialize,
    std::io,
};

impl State {
    /// Answers all requests but those for a text.
    pub(crate) async fn control(&self, conn: &Conn, ask: &Ask) -> io::Result<bool> {
        let (status, text) = self.decide(ask);
        let headers = [
            ("x-request-id", ask.id.as_str()),
            ("content-type", "application/json"),
        ];
        conn.answer(status, &headers, text.as_bytes()).await?;
        Ok(true)
    }

    fn decide(&self, ask: &Ask) -> (u16, String) {
        if let Some(id) = ask.path.strip_prefix("/v1/cancel/") {
            return self.cancel(id);
        }
        match ask.path.as_str() {
            "/load" => json(&self.batch.lock().unwrap().load(self.opts.lag)),
            "/admin/runs" => json(&self.batch.lock().unwrap().runs),
            "/admin/busy" => json(&self.batch.lock().unwrap().busy()),
            "/admin/leave" => {
                self.batch.lock().unwrap().leaving = true;
                (200, "{}".to_owned())
            }
            "/admin/slow" => self.slow(&ask.body),
            "/admin/fault" => self.order(&ask.body),
            _ => (404, String::new()),
        }
    }

    fn cancel(&self, id: &str) -> (u16, String) {
        match self.texts.lock().unwrap().get(id) {
            Some(text) => {
                text.stop();
                (200, "{}".to_owned())
            }
            None => (404, String::new()),
        }
    }

    fn slow(&self, body: &[u8]) -> (u16, String) {
        match serde_json::from_slice::<f64>(body) {
            Ok(factor) => {
                self.batch.lock().unwrap().slow = factor;
                (200, "{}".to_owned())
            }
            Err(e) => (400, e.to_string()),
        }
    }

    fn order(&self, body: &[u8]) -> (u16, String) {
        match serde_json::from_slice::<FaultOrder>(body) {
            Ok(order) => {
                self.faults.order(order.fault, order.count);
                (200, "{}".to_owned())
            }
            Err(e) => (400, e.to_string()),
        }
    }
}

fn json(value: &impl Serialize) -> (u16, String) {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(e) => (500, e.to_string()),
    }
}
