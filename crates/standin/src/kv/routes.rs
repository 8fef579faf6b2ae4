//! HTTP routes of the fake KV.

use std::time::Duration;

use dandelionpitch_core::kv::wire::{
    Header, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseKeepAliveResult, PutRequest, PutResponse, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse, WatchRequest, WatchResponse, WatchResult, WireEvent, WireKeyValue,
};
use rocket::{
    http::Status,
    post,
    response::stream::TextStream,
    routes,
    serde::json::{serde_json, Json},
    Route, State as Managed,
};

use super::{Fault, State};

type Shared = Managed<State>;
type Response<T> = Result<Json<T>, Status>;

/// All routes: the KV's calls and the tests' calls for fault injection.
pub fn all() -> Vec<Route> {
    routes![range, put, txn, grant, keepalive, watch, fault, expire, restore]
}

/// Applies the delay and the outage, and returns the active faults.
async fn apply_faults(state: &State) -> Result<Fault, Status> {
    let fault = *state.fault.lock().unwrap();
    if fault.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    }
    match fault.down {
        true => Err(Status::ServiceUnavailable),
        false => Ok(fault),
    }
}

/// Returns the response to a write, or an error if the fault loses responses.
fn write_response<T>(fault: Fault, response: T) -> Response<T> {
    match fault.lose_answer {
        true => Err(Status::InternalServerError),
        false => Ok(Json(response)),
    }
}

fn header(revision: u64) -> Header {
    Header { revision }
}

fn utf8(bytes: Vec<u8>) -> Result<String, Status> {
    String::from_utf8(bytes).map_err(|_| Status::BadRequest)
}

#[post("/v3/kv/range", data = "<request>")]
async fn range(state: &Shared, request: Json<RangeRequest>) -> Response<RangeResponse> {
    apply_faults(state).await?;
    let (start, end) = request.bounds().map_err(|_| Status::BadRequest)?;
    let start = utf8(start)?;
    let end = end.map(utf8).transpose()?;
    let store = state.store.lock().unwrap();
    let kvs = store.range(&start, end.as_deref());
    Ok(Json(RangeResponse {
        header: header(store.revision()),
        kvs: kvs.iter().map(WireKeyValue::from).collect(),
    }))
}

fn apply_put(state: &State, request: &PutRequest) -> Result<u64, Status> {
    let (key, value) = request.decoded().map_err(|_| Status::BadRequest)?;
    let mut store = state.store.lock().unwrap();
    store
        .put(key, value, request.lease)
        .map_err(|_| Status::NotFound)
}

#[post("/v3/kv/put", data = "<request>")]
async fn put(state: &Shared, request: Json<PutRequest>) -> Response<PutResponse> {
    let fault = apply_faults(state).await?;
    let revision = apply_put(state, &request)?;
    write_response(
        fault,
        PutResponse {
            header: header(revision),
        },
    )
}

#[post("/v3/kv/txn", data = "<request>")]
async fn txn(state: &Shared, request: Json<TxnRequest>) -> Response<TxnResponse> {
    let fault = apply_faults(state).await?;
    let mut store = state.store.lock().unwrap();
    let mut succeeded = true;
    for compare in &request.compare {
        let key = RangeRequest {
            key: compare.key.clone(),
            range_end: String::new(),
        };
        let (key, _) = key.bounds().map_err(|_| Status::BadRequest)?;
        let key = utf8(key)?;
        if compare.target != "MOD" || compare.result != "EQUAL" {
            return Err(Status::BadRequest);
        }
        succeeded &= store.mod_revision(&key) == compare.mod_revision;
    }
    let branch = match succeeded {
        true => &request.success,
        false => &request.failure,
    };
    for op in branch {
        let (key, value) = op.request_put.decoded().map_err(|_| Status::BadRequest)?;
        store
            .put(key, value, op.request_put.lease)
            .map_err(|_| Status::NotFound)?;
    }
    let revision = store.revision();
    drop(store);
    write_response(
        fault,
        TxnResponse {
            header: header(revision),
            succeeded,
        },
    )
}

#[post("/v3/lease/grant", data = "<request>")]
async fn grant(state: &Shared, request: Json<LeaseGrantRequest>) -> Response<LeaseGrantResponse> {
    let fault = apply_faults(state).await?;
    let mut store = state.store.lock().unwrap();
    let id = store.grant(request.ttl);
    let revision = store.revision();
    drop(store);
    write_response(
        fault,
        LeaseGrantResponse {
            header: header(revision),
            id,
            ttl: request.ttl,
        },
    )
}

#[post("/v3/lease/keepalive", data = "<request>")]
async fn keepalive(
    state: &Shared,
    request: Json<LeaseKeepAliveRequest>,
) -> Response<LeaseKeepAliveResponse> {
    let fault = apply_faults(state).await?;
    let ttl = state.store.lock().unwrap().keepalive(request.id);
    write_response(
        fault,
        LeaseKeepAliveResponse {
            result: LeaseKeepAliveResult {
                id: request.id,
                ttl,
            },
        },
    )
}

fn watch_line(revision: u64, events: Vec<WireEvent>) -> String {
    let response = WatchResponse {
        result: WatchResult {
            header: header(revision),
            events,
        },
    };
    let mut text = serde_json::to_string(&response).unwrap_or_default();
    text.push('\n');
    text
}

/// Whether `key` is equal to `start` or, if there is an `end`, in `start..end`.
fn in_range(key: &str, start: &str, end: Option<&str>) -> bool {
    match end {
        None => key == start,
        Some(end) => key >= start && key < end,
    }
}

#[post("/v3/watch", data = "<request>")]
async fn watch(state: &Shared, request: Json<WatchRequest>) -> Result<TextStream![String], Status> {
    apply_faults(state).await?;
    let (key, end) = request.bounds().map_err(|_| Status::BadRequest)?;
    let key = utf8(key)?;
    let end = end.map(utf8).transpose()?;
    let start = request.create_request.start_revision;
    let (mut event_rx, current, revision) = {
        let store = state.store.lock().unwrap();
        let current = store.range(&key, end.as_deref());
        (store.subscribe(), current, store.revision())
    };
    let state = (*state).clone();
    Ok(TextStream! {
        yield watch_line(revision, Vec::new());
        let missed: Vec<WireEvent> = current
            .iter()
            .filter(|kv| kv.mod_revision >= start)
            .map(|kv| WireEvent { kind: Default::default(), kv: kv.into() })
            .collect();
        if !missed.is_empty() {
            yield watch_line(revision, missed);
        }
        while let Ok(event) = event_rx.recv().await {
            if state.fault.lock().unwrap().down {
                break;
            }
            if !in_range(&event.kv.key, &key, end.as_deref()) {
                continue;
            }
            let revision = event.kv.mod_revision;
            let wire = WireEvent { kind: event.kind, kv: (&event.kv).into() };
            yield watch_line(revision, vec![wire]);
        }
    })
}

/// Expires the lease of a key, so that tests need not wait for its TTL.
#[post("/expire", data = "<key>")]
async fn expire(state: &Shared, key: Json<String>) {
    state.store.lock().unwrap().expire_lease(&key);
}

/// Restores the store from a snapshot that is at least this old.
#[post("/restore", data = "<age_ms>")]
async fn restore(state: &Shared, age_ms: Json<u64>) {
    let age = Duration::from_millis(*age_ms);
    state.store.lock().unwrap().restore(age);
}

#[post("/fault", data = "<request>")]
async fn fault(state: &Shared, request: Json<Fault>) -> Json<Fault> {
    *state.fault.lock().unwrap() = *request;
    Json(*request)
}
