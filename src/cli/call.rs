//! Sending one request.

use {
    super::{
        chat_text::ChatText,
        flags::Call as CallFlags,
        print::{
            line,
            put, //
        },
    },
    crate::errors::Error,
    callers::{
        Answer,
        Call,
        Client,
        ClientSettings,
        Refused, //
    },
    policy::Outcome,
    serde_json::json,
};

/// Path of a model's chat completions.
const CHAT: &str = "/v1/chat/completions";

/// Sends one request and prints the answer as it comes.
pub(crate) async fn call(flags: &CallFlags) -> Result<(), Error> {
    let mut settings = ClientSettings::new(vec![flags.router]);
    settings.workspace = Some(flags.workspace.clone());
    settings.tickets = 1;
    let client = Client::new(settings);
    let call = call_of(flags)?;
    let mut printer = Printer::new(flags);
    let answer = client
        .call_streamed(&call, &mut |piece| printer.take(piece))
        .await;
    if flags.json {
        line(answer_json(&answer))?;
    } else {
        printer.end(&answer)?;
    }
    ended(&answer)
}

/// Prints an answer as it comes.
struct Printer {
    /// Takes the text out of a model's events.
    chat: Option<ChatText>,
    quiet: bool,
    /// A first piece that looks like a refusal, which is printed as an error instead.
    held: Vec<u8>,
    printed: bool,
    failed: Option<Error>,
}

impl Printer {
    fn new(flags: &CallFlags) -> Printer {
        Printer {
            chat: flags.prompt.as_ref().map(|_| ChatText::default()),
            quiet: flags.json,
            held: Vec::new(),
            printed: false,
            failed: None,
        }
    }

    fn take(&mut self, piece: &[u8]) {
        let refusal = serde_json::from_slice::<Refused>(piece).is_ok();
        if refusal && !self.printed {
            self.held = piece.to_vec();
        } else {
            self.print(piece);
        }
    }

    fn print(&mut self, piece: &[u8]) {
        if self.quiet || self.failed.is_some() {
            return;
        }
        self.printed = true;
        let printed = match &mut self.chat {
            Some(chat) => put(chat.take(piece).as_bytes()),
            None => put(piece),
        };
        self.failed = printed.err();
    }

    fn end(&mut self, answer: &Answer) -> Result<(), Error> {
        if answer.outcome == Outcome::Answered {
            let held = std::mem::take(&mut self.held);
            self.print(&held);
        }
        if let Some(error) = self.failed.take() {
            return Err(error);
        }
        if self.chat.is_some() && self.printed {
            line("")?;
        }
        Ok(())
    }
}

fn call_of(flags: &CallFlags) -> Result<Call, Error> {
    if flags.prompt.is_some() && (flags.body.is_some() || flags.path.is_some()) {
        return Err(Error::Usage(
            "--prompt is for models, --path and --body for plain services".to_owned(),
            "give --prompt alone, or --path and --body".to_owned(),
        ));
    }
    let path = flags.path.as_deref().unwrap_or("/");
    let (method, target, body) = match (&flags.prompt, &flags.body) {
        (Some(prompt), _) => ("POST", CHAT, chat_body(prompt)),
        (None, Some(body)) => ("POST", path, body.clone()),
        (None, None) => ("GET", path, String::new()),
    };
    let mut call = Call::post(
        flags.service.clone(),
        flags.workspace.clone(),
        flags.profile.clone(),
        target,
        body.into_bytes(),
    );
    call.method = method.to_owned();
    call.deadline = flags.deadline.map(Into::into);
    call.at_most_once = flags.once;
    if flags.prompt.is_some() {
        let json = ("content-type".to_owned(), "application/json".to_owned());
        call.headers.push(json);
    }
    Ok(call)
}

fn chat_body(prompt: &str) -> String {
    json!({
        "stream": true,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

fn answer_json(answer: &Answer) -> serde_json::Value {
    json!({
        "outcome": answer.outcome,
        "status": answer.status,
        "refused": answer.refused,
        "router": answer.router,
        "ticket": answer.ticket,
        "tries": answer.attempts,
        "body": String::from_utf8_lossy(&answer.body),
    })
}

fn ended(answer: &Answer) -> Result<(), Error> {
    if answer.outcome == Outcome::Answered {
        return Ok(());
    }
    let refused = answer.refused.as_ref();
    let message = refused.map_or("the endpoint failed".to_owned(), |r| r.message.clone());
    // No request was sent: it ended with the question which address to use.
    if let (None, Some(refused)) = (answer.status, refused) {
        if answer.outcome == Outcome::NotRun {
            return Err(Error::from_refused(refused));
        }
    }
    Err(Error::Request(answer.outcome, message))
}
