// Tests of what operations on a socket report when their peer ends or resets
// the connection.
#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>

#include <boost/asio/io_context.hpp>
#include <string>

#include "trefoilwick/http_call.h"

namespace trefoilwick {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class HttpCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpCallTest);
  CPPUNIT_TEST(ReadReportsResetThatNoneHasSeen);
  CPPUNIT_TEST(ResetIsKnownAfterWriteHasSeenIt);
  CPPUNIT_TEST(ResetIsKnownAfterPeekHasSeenIt);
  CPPUNIT_TEST(PeekWithUnreadBytesSeesNoEnd);
  CPPUNIT_TEST(OrderlyEndIsNoFailure);
  CPPUNIT_TEST(ResetBehindOrderlyEndIsNoFailure);
  CPPUNIT_TEST(OnlyTheEndIsExplained);
  CPPUNIT_TEST(FirstFailureIsKept);
  CPPUNIT_TEST_SUITE_END();

  // A connection whose near side writes until there is no room, and whose far
  // side has sent `kBytes`.
  class Connection {
   public:
    Connection() : m_near(m_io), m_far(m_io) {
      tcp::acceptor acceptor(m_io, {asio::ip::address_v4::loopback(), 0});
      m_near.connect(acceptor.local_endpoint());
      acceptor.accept(m_far);
      m_near.non_blocking(true);
      while (!Write())
        continue;
      m_far.write_some(asio::buffer(std::string(kBytes)));
    }

    void ShutDownFarSide() { m_far.shutdown(tcp::socket::shutdown_send); }
    // Returns once the near side has learned of it.
    void ResetFromFarSide() {
      m_far.set_option(asio::socket_base::linger(true, 0));
      m_far.close();
      constexpr int kTimeoutMs = 5000;
      pollfd polled{m_near.native_handle(), 0, 0};
      CPPUNIT_ASSERT_EQUAL(1, poll(&polled, 1, kTimeoutMs));
    }

    error_code Write() {
      error_code error;
      m_near.write_some(asio::buffer(std::string(65536, 'x')), error);
      return error;
    }
    // Reads the bytes of the far side. Returns the error of the read after.
    error_code ReadToEnd() {
      std::string bytes(100, '\0');
      CPPUNIT_ASSERT_EQUAL(std::string(kBytes).size(),
                           m_near.read_some(asio::buffer(bytes)));
      error_code error;
      m_near.read_some(asio::buffer(bytes), error);
      return error;
    }
    tcp::socket& near() { return m_near; }

   private:
    static constexpr char kBytes[] = "part";

    asio::io_context m_io;
    tcp::socket m_near;
    tcp::socket m_far;
  };

 public:
  void ReadReportsResetThatNoneHasSeen() {
    Connection connection;
    connection.ResetFromFarSide();
    CPPUNIT_ASSERT(connection.ReadToEnd() == asio::error::connection_reset);
  }

  // The reads after a write that failed report nothing but the end of the
  // stream, which was taken for the end of an answer.
  void ResetIsKnownAfterWriteHasSeenIt() {
    Connection connection;
    connection.ResetFromFarSide();
    ConnectionFailure failure;
    failure.Record(connection.Write());
    const error_code end = connection.ReadToEnd();
    CPPUNIT_ASSERT(end == asio::error::eof);
    CPPUNIT_ASSERT(failure.Explain(end) == asio::error::connection_reset);
    // A later write reports a broken pipe, as after an orderly end.
    failure.Record(connection.Write());
    CPPUNIT_ASSERT(failure.Explain(end) == asio::error::connection_reset);
  }

  // So do reads after a peek that was to find out whether the peer is gone.
  void ResetIsKnownAfterPeekHasSeenIt() {
    Connection connection;
    std::string bytes(100, '\0');
    connection.near().read_some(asio::buffer(bytes));
    connection.ResetFromFarSide();
    ConnectionFailure failure;
    CPPUNIT_ASSERT(IsClosedByPeer(connection.near(), failure));
    error_code end;
    connection.near().read_some(asio::buffer(bytes), end);
    CPPUNIT_ASSERT(end == asio::error::eof);
    CPPUNIT_ASSERT(failure.Explain(end) == asio::error::connection_reset);
  }

  // Unread bytes come before the end of the connection.
  void PeekWithUnreadBytesSeesNoEnd() {
    Connection connection;
    connection.ResetFromFarSide();
    ConnectionFailure failure;
    CPPUNIT_ASSERT(!IsClosedByPeer(connection.near(), failure));
    CPPUNIT_ASSERT(connection.ReadToEnd() == asio::error::connection_reset);
  }

  void OrderlyEndIsNoFailure() {
    Connection connection;
    connection.ShutDownFarSide();
    ConnectionFailure failure;
    failure.Record(connection.Write());
    const error_code end = connection.ReadToEnd();
    CPPUNIT_ASSERT(failure.Explain(end) == asio::error::eof);
    CPPUNIT_ASSERT(IsClosedByPeer(connection.near(), failure));
    CPPUNIT_ASSERT(failure.Explain(end) == asio::error::eof);
  }

  // The answer was whole before the reset: writes report a broken pipe.
  void ResetBehindOrderlyEndIsNoFailure() {
    Connection connection;
    connection.ShutDownFarSide();
    connection.ResetFromFarSide();
    ConnectionFailure failure;
    const error_code written = connection.Write();
    CPPUNIT_ASSERT(written == asio::error::broken_pipe);
    failure.Record(written);
    CPPUNIT_ASSERT(failure.Explain(connection.ReadToEnd()) == asio::error::eof);
  }

  void OnlyTheEndIsExplained() {
    ConnectionFailure failure;
    failure.Record(asio::error::timed_out);
    CPPUNIT_ASSERT(!failure.Explain(error_code()));
    CPPUNIT_ASSERT(failure.Explain(asio::error::connection_reset) ==
                   asio::error::connection_reset);
    CPPUNIT_ASSERT(failure.Explain(asio::error::eof) == asio::error::timed_out);
  }

  void FirstFailureIsKept() {
    ConnectionFailure failure;
    failure.Record(error_code());
    failure.Record(asio::error::operation_aborted);
    failure.Record(asio::error::host_unreachable);
    failure.Record(asio::error::connection_reset);
    CPPUNIT_ASSERT(failure.Explain(asio::error::eof) ==
                   asio::error::host_unreachable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTest);

}  // namespace
}  // namespace trefoilwick
