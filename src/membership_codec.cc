#include <cstring>

#include "trefoilwick/membership.h"

namespace trefoilwick {

namespace {

// Writes integers of variable length, seven bits per byte, and strings with
// their length in front.
class Writer {
 public:
  void WriteUnsigned(uint64_t value) {
    while (value >= 0x80) {
      m_bytes += static_cast<char>(value | 0x80);
      value >>= 7;
    }
    m_bytes += static_cast<char>(value);
  }
  void WriteSigned(int64_t value) {
    WriteUnsigned((static_cast<uint64_t>(value) << 1) ^
                  static_cast<uint64_t>(value >> 63));
  }
  void WriteString(const std::string& text) {
    WriteUnsigned(text.size());
    m_bytes += text;
  }
  std::string TakeBytes() { return std::move(m_bytes); }

 private:
  std::string m_bytes;
};

class Reader {
 public:
  explicit Reader(const std::string& bytes) : m_bytes(bytes) {}
  uint64_t ReadUnsigned() {
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
  int64_t ReadSigned() {
    const uint64_t value = ReadUnsigned();
    return static_cast<int64_t>(value >> 1) ^ -static_cast<int64_t>(value & 1);
  }
  std::string ReadString() {
    const uint64_t size = ReadUnsigned();
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
  out.WriteString(member.id);
  out.WriteSigned(member.incarnation);
  out.WriteSigned(member.refutation);
  out.WriteUnsigned(static_cast<uint64_t>(member.state));
  out.WriteString(member.data_center);
  out.WriteString(member.address);
  out.WriteString(member.peer_address);
  out.WriteSigned(member.table_version);
}

Member ReadMember(Reader& in) {
  Member member;
  member.id = in.ReadString();
  member.incarnation = in.ReadSigned();
  member.refutation = in.ReadSigned();
  member.state = static_cast<MemberState>(in.ReadUnsigned() %
                                          kMemberStateNames.rows().size());
  member.data_center = in.ReadString();
  member.address = in.ReadString();
  member.peer_address = in.ReadString();
  member.table_version = in.ReadSigned();
  return member;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  Writer out;
  out.WriteString(message.sender);
  out.WriteUnsigned(message.members.size());
  for (const Member& member : message.members)
    WriteMember(out, member);
  out.WriteUnsigned(message.items.size());
  for (const GossipItem& item : message.items) {
    out.WriteString(item.origin);
    out.WriteString(item.topic);
    out.WriteSigned(item.sequence);
    out.WriteString(item.payload);
  }
  return out.TakeBytes();
}

absl::StatusOr<GossipMessage> DecodeGossip(const std::string& bytes) {
  Reader in(bytes);
  GossipMessage message;
  message.sender = in.ReadString();
  const uint64_t members = in.ReadUnsigned();
  for (uint64_t i = 0; i < members && in.ok(); ++i)
    message.members.push_back(ReadMember(in));
  const uint64_t items = in.ReadUnsigned();
  for (uint64_t i = 0; i < items && in.ok(); ++i) {
    GossipItem item;
    item.origin = in.ReadString();
    item.topic = in.ReadString();
    item.sequence = in.ReadSigned();
    item.payload = in.ReadString();
    message.items.push_back(std::move(item));
  }
  if (!in.ok() || !in.AtEnd())
    return MakeStatus(absl::StatusCode::kInvalidArgument,
                      "malformed gossip message");
  return message;
}

}  // namespace trefoilwick
