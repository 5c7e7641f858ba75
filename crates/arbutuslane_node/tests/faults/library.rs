//! What the HTTP client of the library does, which is why the request path does not use it.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;

/// Guards against an update of the library that silently resends on a stale pooled connection;
/// announcements and the stand-in caller use its client.
#[ntex::test]
async fn library_stale_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = spawn(move || {
        let mut requests = 0;
        for stream in listener.incoming().take(2) {
            let mut stream = stream.unwrap();
            // The first connection answers once, takes a second request and breaks.
            for turn in 0..2 {
                let mut bytes = [0; 4_096];
                if stream.read(&mut bytes).unwrap_or(0) == 0 {
                    break;
                }
                requests += 1;
                if turn == 0 {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            }
        }
        requests
    });
    let client = Client::builder().build(SharedCfg::new("test")).await.unwrap();
    let url = format!("http://{address}/");
    let first = client.get(&url).send().await.unwrap();
    assert_eq!(first.body().await.unwrap().as_ref(), b"ok");
    ntex::time::sleep(Duration::from_millis(50)).await;
    let second = client.get(&url).send().await;
    assert!(second.is_err(), "the library resent a request or invented a response");
    // Ends the listener's second turn; one more request would have been a silent resend.
    let probe = spawn(move || {
        sleep(Duration::from_millis(100));
        drop(std::net::TcpStream::connect(address));
    });
    probe.join().unwrap();
    assert_eq!(requests.join().unwrap(), 2);
}
