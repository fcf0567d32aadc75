use super::*;
use rstest::rstest;
use std::io::{Read, Write};

// herd: a command that came in the very turn in which its connection had been quiet for long enough was not read,
// and its connection ended. The process stands still here while both happen.
#[rstest]
#[tokio::test]
async fn what_has_come_by_the_end_of_a_quiet_time_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_serving, stages) = watch::channel(Stage::Serving);
    // So few may be kept that none is for long.
    let front = ClientConnections::new(100, 10, stages);
    let router = Router::new().fallback(async || "ok");
    let request = b"GET / HTTP/1.1\r\nHost: b\r\n\r\n";
    let mut clients = Vec::new();
    for _ in 0..10 {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        client.write_all(request).unwrap();
        open(listener.accept().await.unwrap().0, &router, &front, None);
        clients.push(client);
    }
    let until = Instant::now() + HEAD_WITHIN;
    sleep(HEAD_WITHIN - Duration::from_millis(100)).await;
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
