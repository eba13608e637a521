//! Answers of our own: refusals and failures.

use {
    crate::{
        http::{
            Headers,
            Line, //
        },
        model::Dialect, //
    },
    std::time::Duration,
};

/// An answer that no replica gave.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Own {
    pub(crate) status: u16,
    /// What happened, for the caller and the log.
    pub(crate) why: &'static str,
    /// When to come back.
    pub(crate) after: Option<Duration>,
    /// The connection is closed behind it.
    pub(crate) close: bool,
}

impl Own {
    /// The request was not run and never will be.
    pub(crate) fn not_run(why: &'static str, after: Duration) -> Own {
        Own {
            status: 503,
            why,
            after: Some(after),
            close: false,
        }
    }

    /// The request is wrong, or nobody knows how it ended.
    pub(crate) fn status(status: u16, why: &'static str) -> Own {
        Own {
            status,
            why,
            after: None,
            close: false,
        }
    }

    /// The same, with the connection closed behind it.
    pub(crate) fn closing(mut self) -> Own {
        self.close = true;
        self
    }

    /// Writes it as the answer to the request with this id.
    pub(crate) fn bytes(&self, dialect: &Dialect, id: Option<&str>) -> Vec<u8> {
        let mut headers = Headers::default();
        if let Some(id) = id {
            headers.push(dialect.id, id);
        }
        headers.push("Content-Type", "text/plain");
        headers.push("Content-Length", self.why.len() + 1);
        if let Some(after) = self.after {
            headers.push(
                dialect.retry_after,
                format_args!("{:.3}", after.as_secs_f64()),
            );
        }
        if self.close {
            headers.push("Connection", "close");
        }
        let line = Line::Response {
            status: self.status,
            reason: reason(self.status).to_owned(),
        };
        let mut bytes = line.head(&headers);
        bytes.extend_from_slice(self.why.as_bytes());
        bytes.push(b'\n');
        bytes
    }
}

/// Returns the usual words for a status.
pub(crate) fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
