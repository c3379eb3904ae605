// The lower bound for the external processor's benchmark: a minimal gRPC echo server on nghttp2. Each message
// is returned unchanged, and a half-closed call ends with status OK. Prints "echo: PORT" to stderr.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <memory>
#include <string>
#include <unordered_map>

namespace {

struct Stream {
  std::string in, out;
  std::size_t offset = 0;
  bool half_closed = false, responded = false, deferred = false;
};

struct Connection {
  int fd = -1;
  nghttp2_session* session = nullptr;
  std::string out;
  std::size_t offset = 0;
  std::unordered_map<std::int32_t, std::unique_ptr<Stream>> streams;
};

nghttp2_nv nv(const char* name, const char* value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)), std::strlen(name), std::strlen(value),
          NGHTTP2_NV_FLAG_NO_COPY_NAME | NGHTTP2_NV_FLAG_NO_COPY_VALUE};
}

ssize_t read_response(nghttp2_session* session, std::int32_t id, std::uint8_t* into, std::size_t max_bytes,
                      std::uint32_t* flags, nghttp2_data_source* source, void*) {
  auto& s = *static_cast<Stream*>(source->ptr);
  const std::size_t n = std::min(max_bytes, s.out.size() - s.offset);
  if (n == 0 && !s.half_closed) {
    s.deferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(into, s.out.data() + s.offset, n);
  s.offset += n;
  if (s.offset == s.out.size()) {
    s.out.clear();
    s.offset = 0;
    if (s.half_closed) {
      *flags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto status = nv("grpc-status", "0");
      nghttp2_submit_trailer(session, id, &status, 1);
    }
  }
  return static_cast<ssize_t>(n);
}

void respond(Connection& c, std::int32_t id, Stream& s) {
  if (!s.responded) {
    s.responded = true;
    const nghttp2_nv headers[] = {nv(":status", "200"), nv("content-type", "application/grpc")};
    nghttp2_data_provider provider{{.ptr = &s}, read_response};
    nghttp2_submit_response(c.session, id, headers, 2, &provider);
  } else if (s.deferred) {
    s.deferred = false;
    nghttp2_session_resume_data(c.session, id);
  }
}

int on_begin_headers(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
  auto& c = *static_cast<Connection*>(user);
  auto& s = c.streams[frame->hd.stream_id] = std::make_unique<Stream>();
  nghttp2_session_set_stream_user_data(session, frame->hd.stream_id, s.get());
  return 0;
}
int on_data(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
            std::size_t size, void* user) {
  auto* s = static_cast<Stream*>(nghttp2_session_get_stream_user_data(session, id));
  if (!s) return 0;
  s->out.append(reinterpret_cast<const char*>(bytes),
                size);  // the bytes are returned with their gRPC framing
  respond(*static_cast<Connection*>(user), id, *s);
  return 0;
}
int on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
  if (!(frame->hd.flags & NGHTTP2_FLAG_END_STREAM) ||
      (frame->hd.type != NGHTTP2_DATA && frame->hd.type != NGHTTP2_HEADERS)) {
    return 0;
  }
  auto* s = static_cast<Stream*>(nghttp2_session_get_stream_user_data(session, frame->hd.stream_id));
  if (!s) return 0;
  s->half_closed = true;
  respond(*static_cast<Connection*>(user), frame->hd.stream_id, *s);
  return 0;
}
int on_close(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
  static_cast<Connection*>(user)->streams.erase(id);
  return 0;
}

bool flush(Connection& c, int epoll) {
  for (;;) {
    if (c.offset == c.out.size()) {
      c.out.clear();
      c.offset = 0;
      while (c.out.size() < 65536) {
        const std::uint8_t* bytes = nullptr;
        const auto n = nghttp2_session_mem_send(c.session, &bytes);
        if (n <= 0) break;
        c.out.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(n));
      }
      if (c.out.empty()) return true;
    }
    const auto n =
        ::send(c.fd, c.out.data() + c.offset, c.out.size() - c.offset, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      if (errno != EAGAIN) return false;
      epoll_event e{EPOLLIN | EPOLLOUT, {.ptr = &c}};
      ::epoll_ctl(epoll, EPOLL_CTL_MOD, c.fd, &e);
      return true;
    }
    c.offset += static_cast<std::size_t>(n);
  }
}

}  // namespace

int main() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  ::bind(listener, reinterpret_cast<sockaddr*>(&address), size);
  ::listen(listener, 128);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::fprintf(stderr, "echo: %d\n", ntohs(address.sin_port));

  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, on_begin_headers);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_close);

  const int epoll = ::epoll_create1(0);
  epoll_event e{EPOLLIN, {.ptr = nullptr}};
  ::epoll_ctl(epoll, EPOLL_CTL_ADD, listener, &e);
  static char buffer[65536];
  epoll_event events[64];
  for (;;) {
    const int n = ::epoll_wait(epoll, events, 64, -1);
    for (int i = 0; i < n; ++i) {
      auto* c = static_cast<Connection*>(events[i].data.ptr);
      if (!c) {
        c = new Connection;
        c->fd = ::accept(listener, nullptr, nullptr);
        const int one = 1;
        ::setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        nghttp2_session_server_new(&c->session, callbacks, c);
        const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 100'000}};
        nghttp2_submit_settings(c->session, 0, settings, 1);
        epoll_event in{EPOLLIN, {.ptr = c}};
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, c->fd, &in);
        flush(*c, epoll);
        continue;
      }
      bool usable = true;
      if (events[i].events & EPOLLOUT) {
        epoll_event in{EPOLLIN, {.ptr = c}};
        ::epoll_ctl(epoll, EPOLL_CTL_MOD, c->fd, &in);
      }
      if (events[i].events & EPOLLIN) {
        const auto received = ::recv(c->fd, buffer, sizeof buffer, MSG_DONTWAIT);
        usable = received > 0 && nghttp2_session_mem_recv(c->session, reinterpret_cast<std::uint8_t*>(buffer),
                                                          static_cast<std::size_t>(received)) >= 0;
      }
      if (!usable || !flush(*c, epoll)) {
        ::close(c->fd);
        nghttp2_session_del(c->session);
        delete c;
      }
    }
  }
}
