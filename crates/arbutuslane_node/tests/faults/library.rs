//! Behaviour of the ntex HTTP client because of which the request path does not use it.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;

/// Guards against an update of ntex that silently resends a request on a stale pooled connection;
/// announcements and the stand-in caller use its client.
#[ntex::test]
async fn library_stale_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let listener_thread = spawn(move || {
        let mut request_count = 0;
        for stream in listener.incoming().take(2) {
            let mut stream = stream.unwrap();
            // The first connection responds once, reads a second request and closes.
            for request_index in 0..2 {
                let mut bytes = [0; 4_096];
                if stream.read(&mut bytes).unwrap_or(0) == 0 {
                    break;
                }
                request_count += 1;
                if request_index == 0 {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            }
        }
        request_count
    });
    let client = Client::builder().build(SharedCfg::new("test")).await.unwrap();
    let url = format!("http://{address}/");
    let first = client.get(&url).send().await.unwrap();
    assert_eq!(first.body().await.unwrap().as_ref(), b"ok");
    ntex::time::sleep(Duration::from_millis(50)).await;
    let second = client.get(&url).send().await;
    assert!(
        second.is_err(),
        "the client resent a request or returned a response that no server sent"
    );
    // Connects without a request to end the listener; a third request would be a silent resend.
    let connect_thread = spawn(move || {
        sleep(Duration::from_millis(100));
        drop(std::net::TcpStream::connect(address));
    });
    connect_thread.join().unwrap();
    assert_eq!(listener_thread.join().unwrap(), 2);
}
