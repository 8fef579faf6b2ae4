//! The request of a statement for a connection.

use std::{cell::Cell, time::Duration};

use dandelionpitch_engine::{
    catalog::{Consistency, Route},
    session::Effect,
    slots::Purpose,
    time::Moment,
};
use dandelionpitch_proxy::line::{clock, traffic::call::Call};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        service: "s".to_owned(),
        consistency: Consistency::Latest,
        timeout: Duration::from_millis(1_000),
        target: Duration::from_millis(200),
        priority: 1,
        public: false,
    }
}

/// A statement that has waited for a primary beyond its target is due at its deadline. Guards against its
/// refusal because no connection can become free before its target, which has passed.
#[parameterized(
    waited_beyond_target = { 300, true, 1_000 },
    waited_within_target = { 100, true, 200 },
    late_for_another_reason = { 300, false, 200 },
)]
#[test_macro(tokio::test)]
async fn statement_that_has_waited_is_due_at_its_deadline(age: u64, waited: bool, expected: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let sender = TcpStream::connect(address).await.expect("connects");
    let arrived: Moment = clock::now() - Duration::from_millis(age);
    let call = Call {
        id: "id",
        text: "PUT a b",
        effect: Effect::Write,
        execution: None,
        route: &route(),
        account: None,
        arrived,
        isolated: false,
        sender: &sender,
        has_waited: Cell::new(waited),
    };

    let due = call.pool_request(Purpose::Statement).rank.due;

    assert_eq!(due.since(arrived), Duration::from_millis(expected));
}
