use super::*;
use futures_util::StreamExt;
use rstest::rstest;
use std::io::{Read, Write};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;

// Prevents closing a connection, unread, when a command arrives in the very moment at which its idle timeout expires (seen in
// `herd` runs). Here the process is blocked while both happen.
#[rstest]
#[tokio::test]
async fn command_that_arrives_as_the_idle_timeout_expires_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_serving, shutdown) = watch::channel(ShutdownStage::Serving);
    // The limit is so low that no connection gets the long keep-alive timeout.
    let connections = ClientConnections::new(100, 10, MemoryBudget::for_tests(), shutdown);
    let router = Router::new().fallback(async || "ok");
    let request = b"GET / HTTP/1.1\r\nHost: b\r\n\r\n";
    let mut clients = Vec::new();
    for _ in 0..10 {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(request).unwrap();
        serve_connection(
            listener.accept().await.unwrap().0,
            &router,
            &connections,
            None,
        );
        clients.push(client);
    }
    let until = Instant::now() + HEAD_TIMEOUT;
    sleep(HEAD_TIMEOUT - Duration::from_millis(100)).await;
    for client in &mut clients {
        assert!(client.read(&mut [0; 1000]).unwrap() > 0);
        client
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        client.write_all(request).unwrap();
    }
    std::thread::sleep(until + Duration::from_millis(50) - Instant::now());
    sleep(Duration::from_millis(50)).await;
    for client in &mut clients {
        assert!(client.read(&mut [0; 1000]).unwrap() > 0);
    }
}

// Guards against a connection that ends without a response: hyper drops what it has buffered when a response body fails.
#[rstest]
#[case::after_its_head(vec![], false)]
#[case::after_its_first_bytes(vec!["begun"], false)]
#[case::later(vec!["begun"], true)]
#[tokio::test]
async fn client_gets_what_there_is_of_a_response_that_fails(
    #[case] parts: Vec<&'static str>,
    #[case] pauses: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (_serving, shutdown) = watch::channel(ShutdownStage::Serving);
    let connections = ClientConnections::new(100, 10, MemoryBudget::for_tests(), shutdown);
    let response = parts.concat();
    let router = Router::new().fallback(async move || {
        let failure = futures_util::stream::once(async move {
            if pauses {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            Err(std::io::Error::other("the endpoint broke off"))
        });
        Body::from_stream(futures_util::stream::iter(parts.into_iter().map(Ok)).chain(failure))
    });
    serve_connection(
        listener.accept().await.unwrap().0,
        &router,
        &connections,
        None,
    );
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: b\r\n\r\n")
        .await
        .unwrap();
    let mut received = String::new();
    let _ = timeout(Duration::from_secs(5), client.read_to_string(&mut received))
        .await
        .expect("the connection ends");
    assert!(received.starts_with("HTTP/1.1 200 OK\r\n"), "{received:?}");
    assert!(received.contains(&response), "{received:?}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received:?}");
}
