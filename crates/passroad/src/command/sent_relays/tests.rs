//! What the outcomes of relays prove.

use super::*;
use crate::listener::ClientConnection;
use crate::memory_budget::MemoryBudget;
use rstest::rstest;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A guard of a relay whose client waits, and that has started or not. The client's side of the connection is returned with it.
async fn guard(started: bool) -> (Arc<SendGuard>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client_side = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let stream = Arc::new(Mutex::new(listener.accept().await.unwrap().0));
    let budget = MemoryBudget::for_tests();
    let client = ClientConnection::new(&stream, Instant::now(), Duration::ZERO, budget);
    let (ended, changed) = (CancellationToken::new(), CancellationToken::new());
    let guard = SendGuard::new(ended, changed, None, Arc::new(client));
    assert_eq!(started && guard.try_start(), started);
    (Arc::new(guard), client_side)
}

#[rstest]
#[case::not_started(false, Some(Outcome::Cancelled), false)]
#[case::under_way(true, None, true)]
#[case::recalled(true, Some(Outcome::Cancelled), true)]
#[case::timed_out(true, Some(Outcome::TimedOut), true)]
#[case::connection_lost(true, Some(Outcome::ConnectionLost), true)]
#[case::answered(true, Some(Outcome::Answered), true)]
#[case::never_written_whole(true, Some(Outcome::ConnectFailed), false)]
#[case::declined(true, Some(Outcome::Overloaded), false)]
#[tokio::test]
async fn a_command_may_run_by_a_started_relay_unless_its_outcome_proves_the_contrary(
    #[case] started: bool,
    #[case] outcome: Option<Outcome>,
    #[case] may_run: bool,
) {
    let (mut relays, (guard, _client)) = (SentRelays::default(), guard(started).await);
    relays.add(&guard);
    outcome
        .into_iter()
        .for_each(|outcome| relays.record(0, outcome));
    assert_eq!(relays.may_run(), may_run);
}
