//! Byte relay between callers and endpoints: shows what any extra process on the path costs.

use super::endpoint::spawn_thread;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Forwards bytes unchanged, on one thread as a sidecar does; returns one address per endpoint.
pub fn relay(endpoints: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    for _ in endpoints {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        listeners.push(listener);
    }
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<_>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let pairs: Vec<_> = listeners.into_iter().zip(endpoints.to_vec()).collect();
    spawn_thread("relay", move || {
        runtime.block_on(async move {
            for (listener, endpoint) in pairs {
                tokio::spawn(async move {
                    let listener = tokio::net::TcpListener::from_std(listener)?;
                    loop {
                        let (mut inbound, _) = listener.accept().await?;
                        tokio::spawn(async move {
                            let mut outbound = tokio::net::TcpStream::connect(endpoint).await?;
                            inbound.set_nodelay(true)?;
                            outbound.set_nodelay(true)?;
                            tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await
                        });
                    }
                    #[expect(unreachable_code, reason = "gives the block its type")]
                    io::Result::Ok(())
                });
            }
            std::future::pending::<()>().await;
        });
    })?;
    Ok(addresses)
}
