//! One probe of one endpoint.

use crate::body::Load;
use crate::relay::{Client, Ended, Link, exchange, read_load};
use bytes::Bytes;
use hyper::{Request, Response};
use passroad_choice::{Outcome, ReportsHow};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// An answer that comes later tells nothing, but reading it keeps its connection.
const LINGER: Duration = Duration::from_secs(2);

const AFTER_STALL: Duration = Duration::from_millis(5);

/// Asks an endpoint how it is; where it has reports, the answer is one.
pub async fn run(link: Link, reports: ReportsHow, within: Duration) -> Ended {
    let (tell, mut told) = oneshot::channel();
    tokio::spawn(async move {
        let ended = timeout(LINGER, ask(&link.client, link.address, reports)).await;
        let _ = tell.send(ended.unwrap_or(Outcome::TimedOut.into()));
    });
    if let Ok(Ok(ended)) = timeout(within, &mut told).await {
        return ended;
    }
    // Guards against an endpoint taken for silent after a stall of this process: its answer waits to be read.
    timeout(AFTER_STALL, told).await.ok().and_then(Result::ok).unwrap_or(Outcome::TimedOut.into())
}

async fn ask(client: &Client, at: std::net::SocketAddr, reports: ReportsHow) -> Ended {
    let path = if reports == ReportsHow::Silent { "/healthz" } else { "/load" };
    let Ok(request) = Request::get(format!("http://{at}{path}")).body(Load::default()) else {
        return Outcome::Moot.into();
    };
    let mut ended = exchange(client, request, &|| Some(path.len()), None).await;
    let body = ended.answer.take().map(Response::into_body).unwrap_or_default().held();
    ended.report = ended.report.or_else(|| body_load(&body));
    ended
}

fn body_load(body: &Bytes) -> Option<passroad_choice::Report> {
    std::str::from_utf8(body).ok().and_then(read_load)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::front::Talk;
    use crate::look::Look;
    use crate::relay::{Cargo, Dialer, run as relay};
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
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.unwrap();
                }
            }
        });
        address
    }

    fn command() -> Arc<Cargo> {
        let (parts, ()) = Request::get("/look").header("req-id", "a").body(()).unwrap().into_parts();
        Arc::new(Cargo::of(parts, Bytes::new(), None).unwrap())
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
        let link = Link::new(endpoint().await, &dialer);
        pause();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let _waits = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let stream = Arc::new(std::sync::Mutex::new(listener.accept().await.unwrap().0));
        let client = Arc::new(Talk::new(&stream, std::time::Instant::now(), Duration::ZERO));
        let send = || {
            let (recall, recalled) = oneshot::channel();
            let (link, cargo) = (link.clone(), command());
            let look = Look::new(CancellationToken::new(), link.out.clone(), None, Arc::clone(&client));
            async move {
                let ended = relay(link, cargo, Arc::new(look), Duration::from_secs(9), recalled).await;
                drop(recall);
                ended.outcome
            }
        };
        let first = if probed {
            in_no_time(run(link.clone(), ReportsHow::Silent, second)).await.map(|ended| ended.outcome)
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
}
