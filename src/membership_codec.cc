#include <cstring>

#include "trefoilwick/membership.h"

namespace trefoilwick {

namespace {

// Variable-length integers, seven bits a byte, and length-prefixed strings.
class Writer {
 public:
  void Number(uint64_t value) {
    while (value >= 0x80) {
      m_bytes += static_cast<char>(value | 0x80);
      value >>= 7;
    }
    m_bytes += static_cast<char>(value);
  }
  void Signed(int64_t value) {
    Number((static_cast<uint64_t>(value) << 1) ^
           static_cast<uint64_t>(value >> 63));
  }
  void String(const std::string& text) {
    Number(text.size());
    m_bytes += text;
  }
  std::string Take() { return std::move(m_bytes); }

 private:
  std::string m_bytes;
};

class Reader {
 public:
  explicit Reader(const std::string& bytes) : m_bytes(bytes) {}
  uint64_t Number() {
    uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (m_position >= m_bytes.size()) {
        m_ok = false;
        return 0;
      }
      const auto byte = static_cast<unsigned char>(m_bytes[m_position++]);
      value |= static_cast<uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) == 0)
        return value;
    }
    m_ok = false;
    return 0;
  }
  int64_t Signed() {
    const uint64_t value = Number();
    return static_cast<int64_t>(value >> 1) ^ -static_cast<int64_t>(value & 1);
  }
  std::string String() {
    const uint64_t size = Number();
    if (!m_ok || size > m_bytes.size() - m_position) {
      m_ok = false;
      return "";
    }
    std::string text = m_bytes.substr(m_position, size);
    m_position += size;
    return text;
  }
  bool ok() const { return m_ok; }
  bool AtEnd() const { return m_position == m_bytes.size(); }

 private:
  const std::string& m_bytes;
  size_t m_position = 0;
  bool m_ok = true;
};

void WriteMember(Writer& out, const Member& member) {
  out.String(member.id);
  out.Signed(member.incarnation);
  out.Signed(member.refutation);
  out.Number(static_cast<uint64_t>(member.state));
  out.String(member.data_center);
  out.String(member.address);
  out.String(member.peer_address);
  out.Signed(member.table_version);
}

Member ReadMember(Reader& in) {
  Member member;
  member.id = in.String();
  member.incarnation = in.Signed();
  member.refutation = in.Signed();
  member.state =
      static_cast<MemberState>(in.Number() % kMemberStateNames.rows().size());
  member.data_center = in.String();
  member.address = in.String();
  member.peer_address = in.String();
  member.table_version = in.Signed();
  return member;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  Writer out;
  out.String(message.sender);
  out.Number(message.members.size());
  for (const Member& member : message.members)
    WriteMember(out, member);
  out.Number(message.items.size());
  for (const GossipItem& item : message.items) {
    out.String(item.origin);
    out.String(item.topic);
    out.Signed(item.sequence);
    out.String(item.payload);
  }
  return out.Take();
}

absl::StatusOr<GossipMessage> DecodeGossip(const std::string& bytes) {
  Reader in(bytes);
  GossipMessage message;
  message.sender = in.String();
  const uint64_t members = in.Number();
  for (uint64_t i = 0; i < members && in.ok(); ++i)
    message.members.push_back(ReadMember(in));
  const uint64_t items = in.Number();
  for (uint64_t i = 0; i < items && in.ok(); ++i) {
    GossipItem item;
    item.origin = in.String();
    item.topic = in.String();
    item.sequence = in.Signed();
    item.payload = in.String();
    message.items.push_back(std::move(item));
  }
  if (!in.ok() || !in.AtEnd())
    return MakeStatus(absl::StatusCode::kInvalidArgument,
                      "malformed gossip message");
  return message;
}

}  // namespace trefoilwick
