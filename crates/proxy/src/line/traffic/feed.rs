//! Serves the change feed: answers other proxies' requests for changes of the store.

use dandelionpitch_engine::refusal::{Code, Refusal};
use dandelionpitch_platform::{
    caller::{self, Ready},
    feed::Message,
    line, Error,
};

use crate::line::{journal, mirror::Handle};

/// Appends the response to a request for changes or for a copy. `ready` is the state of the connection.
pub async fn respond(mirror: &Handle, message: &[u8], ready: Ready, out: &mut Vec<u8>) {
    let start = out.len();
    let written = match line::to_str(message).and_then(Message::parse) {
        Ok(message) => write_response(mirror, message, out).await,
        Err(error) => Err(error),
    };
    match written {
        Ok(true) => caller::write_done(out, ready),
        Ok(false) => caller::write_refusal(out, &unavailable(), ready),
        Err(error) => {
            out.truncate(start);
            journal::trouble("feed", &error.to_string());
            caller::write_refusal(out, &unavailable(), ready);
        }
    }
}

/// Appends the rows of a response; returns `false` if this proxy cannot serve the request.
async fn write_response(
    mirror: &Handle,
    message: Message,
    out: &mut Vec<u8>,
) -> Result<bool, Error> {
    let response = match message {
        Message::Follow(request) => mirror.respond(request).await?,
        Message::Copy(progress) => mirror.respond_with_copy(progress)?,
    };
    let Some(response) = response else {
        return Ok(false);
    };
    response.changes.write(response.timing, out)?;
    Ok(true)
}

fn unavailable() -> Refusal {
    Refusal::new(Code::Busy, "this proxy cannot serve changes of the store")
}
