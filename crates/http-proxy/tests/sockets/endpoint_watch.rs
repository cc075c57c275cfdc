//! Tests of the endpoint watch.

use crate::support::{settings, spawn, Client, Pod, PodAction, OK_RESPONSE};
use limewing_http_proxy::service::Service;
use std::io::{Read, Write};
use std::net::TcpListener;

#[test]
fn after_a_malformed_list_the_next_query_starts_at_index_0() {
    let pod = Pod::new(vec![PodAction::Respond(OK_RESPONSE)]);
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = settings();
    settings.endpoint_list.address = list.local_addr().unwrap();
    let entry = format!(
        r#"[{{"Service":{{"ID":"a","Address":"127.0.0.1","Port":{},"Meta":{{"build":"1"}}}}}}]"#,
        pod.address.port()
    );
    let mut client = Client::new(spawn(Service::start(&settings).unwrap()));
    for body in ["half a li", &entry] {
        let (mut connection, _) = list.accept().unwrap();
        let mut query = [0; 500];
        let length = connection.read(&mut query).unwrap();
        assert!(String::from_utf8_lossy(&query[..length]).contains("index=0&"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write_all((head + body).as_bytes()).unwrap();
        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nWait-Ms: 300\r\n\r\n");
        let (head, _) = client.read_response();
        assert_eq!(head.starts_with("HTTP/1.1 200"), body.len() > 20, "{head}");
    }
}
