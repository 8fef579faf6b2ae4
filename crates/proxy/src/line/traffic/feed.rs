//! Serves the change feed: answers other proxies' requests for changes of the store.

use dandelionpitch_engine::refusal::{Code, Refusal};
use dandelionpitch_platform::{
    caller::{self, Ready},
    feed::Request,
    line, Error,
};

use crate::line::{journal, mirror::Handle};

/// Appends the response to a request for changes. `ready` is the state of the connection.
pub async fn respond(mirror: &Handle, message: &[u8], ready: Ready, out: &mut Vec<u8>) {
    let start = out.len();
    let written = match line::to_str(message).and_then(Request::parse) {
        Ok(request) => write_response(mirror, request, out).await,
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
    request: Request,
    out: &mut Vec<u8>,
) -> Result<bool, Error> {
    let Some(response) = mirror.respond(request).await? else {
        return Ok(false);
    };
    response.changes.write(response.timing, out)?;
    Ok(true)
}

fn unavailable() -> Refusal {
    Refusal::new(Code::Busy, "this proxy cannot serve changes of the store")
}
