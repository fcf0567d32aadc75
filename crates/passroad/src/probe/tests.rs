use super::*;
use crate::listener::ClientConnection;
use crate::relay::{CommandRequest, Dialer, run as relay};
use crate::send_guard::SendGuard;
use rstest::rstest;
use std::future::Future;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{advance, pause};
use tokio_util::sync::CancellationToken;

/// An endpoint on one connection that answers whatever comes.
async fn endpoint() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut came = Vec::new();
        while stream.read_buf(&mut came).await.is_ok_and(|n| n > 0) {
            if came.ends_with(b"\r\n\r\n") {
                came.clear();
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                    .await
                    .unwrap();
            }
        }
    });
    address
}

fn command() -> Arc<CommandRequest> {
    let (parts, ()) = Request::get("/look")
        .header("req-id", "a")
        .body(())
        .unwrap()
        .into_parts();
    Arc::new(CommandRequest::new(parts, Bytes::new(), None).unwrap())
}

/// Runs with a clock that stands still, as the runtime is never idle: whoever waits for a time waits for good.
/// None after so many turns that an answer over a socket has long come.
async fn in_no_time<T>(ending: impl Future<Output = T>) -> Option<T> {
    let began = std::time::Instant::now();
    let turns = async {
        while began.elapsed() < Duration::from_millis(300) {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        biased;
        ended = ending => Some(ended),
        () = turns => None,
    }
}

// Calm days: each command's probe left its connection to rest, and the command behind it waited for a millisecond
// or two. Behind a command's answer the connection does rest, which shows that the clock tells the two apart.
#[rstest]
#[case::behind_a_probe(true)]
#[case::behind_a_command(false)]
#[tokio::test]
async fn a_command_does_not_wait_behind_the_probe_that_was_made_for_it(#[case] probed: bool) {
    let second = Duration::from_secs(1);
    let dialer = Dialer::new(4 * second, 60 * second, 1);
    let link = EndpointPool::new(endpoint().await, &dialer);
    pause();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _waits = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let stream = Arc::new(std::sync::Mutex::new(listener.accept().await.unwrap().0));
    let client = Arc::new(ClientConnection::new(
        &stream,
        std::time::Instant::now(),
        Duration::ZERO,
    ));
    let send = || {
        let (recall, recalled) = oneshot::channel();
        let (link, cargo) = (link.clone(), command());
        let look = SendGuard::new(
            CancellationToken::new(),
            link.invalidated.clone(),
            None,
            Arc::clone(&client),
        );
        async move {
            let ended = relay(
                link,
                cargo,
                Arc::new(look),
                Duration::from_secs(9),
                recalled,
            )
            .await;
            drop(recall);
            ended.outcome
        }
    };
    let first = if probed {
        in_no_time(run(link.clone(), ReportMode::Silent, second))
            .await
            .map(|ended| ended.outcome)
    } else {
        in_no_time(send()).await
    };
    assert_eq!(first, Some(Outcome::Answered));
    let mut next = std::pin::pin!(send());
    let at_once = in_no_time(&mut next).await;
    assert_eq!(at_once, probed.then_some(Outcome::Answered));
    if !probed {
        advance(Duration::from_millis(2)).await;
        assert_eq!(in_no_time(next).await, Some(Outcome::Answered));
    }
}
