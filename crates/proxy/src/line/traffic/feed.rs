//! Tells another proxy what changed in the store, as long as its connection lasts.

use dandelionpitch_engine::refusal::{Code, Refusal};
use dandelionpitch_platform::{
    caller::{self, Ready},
    feed::Request,
    line, Error,
};

use crate::line::{journal, mirror::Handle};

/// The longest answer that is given. Whoever has missed more reads it from the store: sent to dozens of
/// others at once, it would fill this VM's link for longer than they wait.
const LONGEST: usize = 64 * 1024;

/// Appends the answer to a question for changes, to a connection that stands at `stand`.
pub async fn answer(mirror: &Handle, message: &[u8], stand: Ready, out: &mut Vec<u8>) {
    let start = out.len();
    let told = match line::to_str(message).and_then(Request::parse) {
        Ok(question) => tell(mirror, question, out).await,
        Err(error) => Err(error),
    };
    match told {
        Ok(true) if out.len() - start <= LONGEST => caller::write_done(out, stand),
        Ok(_) => {
            out.truncate(start);
            caller::write_refusal(out, &nothing_known(), stand);
        }
        Err(error) => {
            out.truncate(start);
            journal::trouble("feed", &error.to_string());
            caller::write_refusal(out, &nothing_known(), stand);
        }
    }
}

/// Appends the rows of an answer; `false` if there is none.
async fn tell(mirror: &Handle, question: Request, out: &mut Vec<u8>) -> Result<bool, Error> {
    let Some(answer) = mirror.respond(question).await else {
        return Ok(false);
    };
    answer.write(out, |key| mirror.delta(key, question.after))?;
    Ok(true)
}

fn nothing_known() -> Refusal {
    Refusal::new(Code::Busy, "this proxy hears nothing of the store itself")
}
