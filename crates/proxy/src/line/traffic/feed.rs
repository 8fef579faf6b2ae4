//! Serves the change feed: answers other proxies' requests for changes of the store.

use dandelionpitch_engine::refusal::{Code, Refusal};
use dandelionpitch_platform::{
    caller::{self, Ready},
    feed::Request,
    line, Error,
};

use crate::line::{journal, mirror::Handle};

/// The maximum size of a response. A proxy that is further behind reads the store instead: larger
/// responses to dozens of proxies at once would saturate this VM's network link for longer than the
/// proxies wait.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Appends the response to a request for changes. `ready` is the state of the connection.
pub async fn respond(mirror: &Handle, message: &[u8], ready: Ready, out: &mut Vec<u8>) {
    let start = out.len();
    let written = match line::to_str(message).and_then(Request::parse) {
        Ok(request) => write_response(mirror, request, out).await,
        Err(error) => Err(error),
    };
    match written {
        Ok(true) if out.len() - start <= MAX_RESPONSE_BYTES => caller::write_done(out, ready),
        Ok(_) => {
            out.truncate(start);
            caller::write_refusal(out, &unavailable(), ready);
        }
        Err(error) => {
            out.truncate(start);
            journal::trouble("feed", &error.to_string());
            caller::write_refusal(out, &unavailable(), ready);
        }
    }
}

/// Appends the rows of a response; returns `false` if this proxy cannot serve changes.
async fn write_response(
    mirror: &Handle,
    request: Request,
    out: &mut Vec<u8>,
) -> Result<bool, Error> {
    let Some(response) = mirror.respond(request).await else {
        return Ok(false);
    };
    response.write(out, |key| mirror.delta(key, request.after))?;
    Ok(true)
}

fn unavailable() -> Refusal {
    Refusal::new(Code::Busy, "this proxy cannot serve changes of the store")
}
