//! Converts a backend server's answer into the messages for the caller.

use std::sync::Arc;

use dandelionpitch_core::position::Position;
use futures::stream;
use pgwire::api::{
    results::{self, DataRowEncoder, FieldFormat, FieldInfo, QueryResponse, Response},
    Type,
};
use tokio_postgres::SimpleQueryMessage;

use crate::route::{Analysis, Tag, POSITION_SETTING};

/// The tag of a statement that could not be parsed.
const UNKNOWN_TAG: Tag = Tag {
    text: "OK",
    ends_transaction: false,
};

/// The answer to `SHOW dandelionpitch.position`.
pub fn position_rows(floor: Option<Position>) -> Response {
    let text = floor.map(|floor| floor.to_string()).unwrap_or_default();
    text_response(vec![POSITION_SETTING.to_owned()], vec![vec![Some(text)]])
}

/// A result set with text columns.
fn text_response(names: Vec<String>, rows: Vec<Vec<Option<String>>>) -> Response {
    let fields: Vec<FieldInfo> = names
        .into_iter()
        .map(|name| FieldInfo::new(name, None, None, Type::TEXT, FieldFormat::Text))
        .collect();
    let schema = Arc::new(fields);
    let mut encoded = Vec::with_capacity(rows.len());
    for row in rows {
        let mut encoder = DataRowEncoder::new(schema.clone());
        for value in row {
            if let Err(error) = encoder.encode_field(&value) {
                encoded.push(Err(error));
                continue;
            }
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Response::Query(QueryResponse::new(schema, stream::iter(encoded)))
}

/// Converts a backend server's messages, with the command tags of `analysis`, since
/// `tokio-postgres` does not return the server's.
pub fn responses(messages: Vec<SimpleQueryMessage>, analysis: &Analysis) -> Vec<Response> {
    let mut responses = Vec::new();
    let mut names: Option<Vec<String>> = None;
    let mut rows = Vec::new();
    let mut tags = analysis.tags.iter();
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                names = Some(columns.iter().map(|c| c.name().to_owned()).collect());
            }
            SimpleQueryMessage::Row(row) => {
                names.get_or_insert_with(|| {
                    row.columns().iter().map(|c| c.name().to_owned()).collect()
                });
                let text = |index| row.get(index).map(str::to_owned);
                rows.push((0..row.len()).map(text).collect());
            }
            SimpleQueryMessage::CommandComplete(count) => {
                let tag = tags.next().copied().unwrap_or(UNKNOWN_TAG);
                let rows = std::mem::take(&mut rows);
                responses.push(completed(tag, count, names.take(), rows));
            }
            _ => {}
        }
    }
    responses
}

fn completed(
    tag: Tag,
    count: u64,
    names: Option<Vec<String>>,
    rows: Vec<Vec<Option<String>>>,
) -> Response {
    let Tag {
        text,
        ends_transaction,
    } = tag;
    match (text, names) {
        (_, Some(names)) => text_response(names, rows),
        ("BEGIN", None) => Response::TransactionStart(results::Tag::new(text)),
        (_, None) if ends_transaction => Response::TransactionEnd(results::Tag::new(text)),
        ("INSERT", None) => Response::Execution(
            results::Tag::new(text)
                .with_oid(0)
                .with_rows(count as usize),
        ),
        ("UPDATE" | "DELETE", None) => {
            Response::Execution(results::Tag::new(text).with_rows(count as usize))
        }
        (_, None) => Response::Execution(results::Tag::new(text)),
    }
}
