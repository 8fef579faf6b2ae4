//! Tells another proxy what changed in the store, as long as its connection lasts.

use dandelionpitch_engine::refusal::{Code, Refusal};
use dandelionpitch_platform::{
    caller::{self, Stand},
    feed::Question,
    line,
};

use crate::line::{journal, mirror::Copy};

/// Appends the answer to a question for changes, to a connection that stands at `stand`.
pub async fn answer(copy: &Copy, message: &[u8], stand: Stand, out: &mut Vec<u8>) {
    let answer = match line::text(message).and_then(Question::read) {
        Ok(question) => copy.answer(question).await,
        Err(error) => {
            journal::trouble("feed", &error.to_string());
            None
        }
    };
    let start = out.len();
    let written = answer.map(|answer| answer.write(out));
    match written {
        Some(Ok(())) => caller::done(out, stand),
        Some(Err(error)) => {
            out.truncate(start);
            journal::trouble("feed", &error.to_string());
            caller::refused(out, &no_news(), stand);
        }
        None => caller::refused(out, &no_news(), stand),
    }
}

fn no_news() -> Refusal {
    Refusal::new(Code::Busy, "this proxy has no news of the store itself")
}
