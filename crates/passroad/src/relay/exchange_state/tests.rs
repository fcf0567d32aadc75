use super::*;
use rstest::rstest;

fn assigned(connection: &ConnectionExchanges) -> Arc<ExchangeState> {
    let exchange = Arc::new(ExchangeState::new(None));
    connection.assign(Arc::clone(&exchange));
    exchange
}

/// A connection that has carried a request and its response, and their exchange.
fn connection_after_a_response() -> (ConnectionExchanges, Arc<ExchangeState>) {
    let connection = ConnectionExchanges::default();
    let exchange = assigned(&connection);
    connection.record_written(500);
    connection.record_read(80);
    (connection, exchange)
}

#[rstest]
#[case::nothing_written(&[], false, true)]
#[case::too_few_written(&[10, 89], false, true)]
#[case::all_may_be_written(&[10, 90], false, false)]
#[case::something_received(&[10], true, false)]
fn request_with_too_few_bytes_written_never_ran(
    #[case] written: &[usize],
    #[case] received: bool,
    #[case] never_ran: bool,
) {
    let (connection, previous) = connection_after_a_response();
    previous.complete();
    let exchange = assigned(&connection);
    written
        .iter()
        .for_each(|count| connection.record_written(*count));
    connection.record_read(usize::from(received));
    assert_eq!(exchange.wrote_less_than(Some(100)), never_ran);
}

// Guards against a command that runs twice: a reset connection proves nothing about a request that was written over it, whatever
// became of the exchange before.
#[rstest]
fn late_end_of_a_complete_exchange_leaves_the_next_one_alone() {
    let (connection, previous) = connection_after_a_response();
    previous.complete();
    let exchange = assigned(&connection);
    connection.record_written(100);
    previous.abandon();
    let mut cx = Context::from_waker(Waker::noop());
    assert!(matches!(
        connection.poll_next_write(&mut cx),
        Poll::Ready(Ok(NextWrite::Rest))
    ));
    connection.retire("reset");
    assert!(!exchange.is_refused());
}

#[rstest]
#[case::incomplete(false)]
#[case::abandoned(true)]
fn connection_is_not_reused_before_its_response_is_complete(#[case] abandoned: bool) {
    let (connection, previous) = connection_after_a_response();
    if abandoned {
        previous.abandon();
    }
    let exchange = assigned(&connection);
    assert!(exchange.is_refused());
    let mut cx = Context::from_waker(Waker::noop());
    assert!(matches!(
        connection.poll_next_write(&mut cx),
        Poll::Ready(Err(Retired))
    ));
}

// Guards against a wrong failure after a pause of the process: the last byte of the previous response on a connection may be older
// than the stall timeout when the next request is assigned to it.
#[rstest]
fn assigned_exchange_has_read_nothing_of_the_previous_response() {
    let (connection, previous) = connection_after_a_response();
    previous.complete();
    let exchange = assigned(&connection);
    assert!(previous.last_read().is_some());
    assert_eq!((exchange.bytes_read(), exchange.last_read()), (0, None));
}
